// The artifact store over HTTP: job descriptions, images, checkpoints, outputs and results, kept
// outside the machines that use them.
//
//   POST /artifact store/parts/UPLOAD?at=N     some bytes; 200 {"size":N}, also where it did not
//   match POST /artifact store/blobs/HASH?from=UPLOAD  the upload becomes the blob: 200, or 422 for
//   another hash GET  /artifact store/blobs/HASH?at=N       up to 1 MiB from there, empty at the
//   end; 404 POST /artifact store/names/NAME            {"value":...,"version":V}; 201, 200 if the
//   same is there,
//                                     409 with what is there
//   GET  /artifact store/names/NAME            {"value":...,"version":V}, or 404
//
// 400: malformed; 507: the disk is full or fails, nothing was changed.
#pragma once
#include "artifacts/store.h"
#include "net/http.h"

namespace shunttrail::artifacts {

inline constexpr std::size_t kPart = 1024 * 1024;

class Server {
 public:
  Server(actor::Loop& loop, const config::Endpoint& at, const std::filesystem::path& dir);

 private:
  net::Answer answer(const net::Exchange& ex);
  net::Answer parts(const std::string& upload, const net::Exchange& ex);
  net::Answer blobs(const std::string& hash, const net::Exchange& ex);
  net::Answer names(const std::string& name, const net::Exchange& ex);

  Store store_;
  net::Server http_;
};

}  // namespace shunttrail::artifacts
