// HTTP server of the artifact store, which keeps job descriptions, images, checkpoints, outputs and
// results outside the machines that use them.
//
//   POST /depot/parts/UPLOAD?at=N         appends bytes if N is the upload's size; 200 {"size":S}
//                                         with its size afterwards, in both cases
//   POST /depot/blobs/HASH?from=UPLOAD    makes the upload a blob: 200, or 422 if the hash does not
//                                         match
//   GET  /depot/blobs/HASH?at=N           up to 1 MiB from offset N, empty at the end; or 404
//   POST /depot/names/NAME                {"value":...,"version":V}; 201, 200 if the same value is
//                                         stored, 409 with the stored value if it conflicts
//   GET  /depot/names/NAME                {"value":...,"version":V}, or 404
//   GET  /depot/up                        200
//
// 400: the request is malformed; 507: the disk is full or fails, and nothing was changed.
#pragma once
#include <string>

#include "artifacts/store.h"
#include "net/http.h"

namespace shunttrail::artifacts {

/// The maximum number of bytes of a blob in one request or answer.
inline constexpr std::size_t kMaxPartBytes = 1024 * 1024;

class Server {
 public:
  /// Serves the store in `dir`. Throws std::exception if the address is in use or the directory
  /// cannot be created.
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
