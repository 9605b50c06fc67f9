// The artifact store over HTTP: job descriptions, images, checkpoints, outputs and results, kept
// outside the machines that use them.
//
//   POST /depot/parts/UPLOAD?at=N         some bytes; 200 {"size":N}, also where `at` did not match
//   POST /depot/blobs/HASH?from=UPLOAD    the upload becomes the blob: 200, or 422 for another hash
//   GET  /depot/blobs/HASH?at=N           up to 1 MiB from there, empty at the end; 404
//   POST /depot/names/NAME                {"value":...,"version":V}; 201, 200 if the same is there,
//                                         409 with what is there
//   GET  /depot/names/NAME                {"value":...,"version":V}, or 404
//   GET  /depot/up                        200
//
// 400: malformed; 507: the disk is full or fails, nothing was changed.
#pragma once
#include <string>

#include "artifacts/store.h"
#include "net/http.h"

namespace shunttrail::artifacts {

/// The most bytes of a blob in one request or answer.
inline constexpr std::size_t kMaxPartBytes = 1024 * 1024;

class Server {
 public:
  /// Serves the store in `dir`. Throws std::exception where the address is taken or the directory
  /// cannot be made.
  Server(actor::Loop& loop, const config::Endpoint& address, const std::filesystem::path& dir);

 private:
  [[nodiscard]] net::Answer answer(const net::Exchange& exchange);
  [[nodiscard]] net::Answer dispatch(const net::Exchange& exchange);
  [[nodiscard]] net::Answer answer_part(const std::string& upload, const net::Exchange& exchange);
  [[nodiscard]] net::Answer answer_blob(const std::string& hash, const net::Exchange& exchange);
  [[nodiscard]] net::Answer get_name(const std::string& name) const;
  [[nodiscard]] net::Answer put_name(const std::string& name, const std::string& body);

  Store store_;
  net::Server http_;
};

}  // namespace shunttrail::artifacts
