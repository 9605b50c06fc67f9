#include "artifacts/client.h"

#include <sodium.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "artifacts/server.h"

namespace shunttrail::artifacts {
namespace fs = std::filesystem;
namespace {

constexpr double kTimeoutS = 10;
constexpr std::size_t kMaxConnections = 4, kMaxQueue = 4096;
constexpr std::size_t kUploadNameBytes = 16;

std::string random_upload_name() {
  if (sodium_init() < 0) throw std::runtime_error("libsodium cannot be used");
  unsigned char bytes[kUploadNameBytes];
  randombytes_buf(bytes, sizeof bytes);
  char digits[2 * kUploadNameBytes + 1];
  sodium_bin2hex(digits, sizeof digits, bytes, sizeof bytes);
  return digits;
}

Store::Named parse_named(const std::string& body) {
  return decode_named(body).value_or(Store::Named{});
}

Outcome outcome_of_upload(int status) {
  if (status == 200) return Outcome::ok;
  return status == 422 ? Outcome::refused : Outcome::unavailable;
}

Outcome outcome_of_put(int status) {
  if (status == 200 || status == 201) return Outcome::ok;
  const bool is_refused = status == 409 || status == 400 || status == 413;
  return is_refused ? Outcome::refused : Outcome::unavailable;
}

Outcome outcome_of_get(int status) {
  if (status == 200) return Outcome::ok;
  if (status == 404) return Outcome::absent;
  return status == 400 ? Outcome::refused : Outcome::unavailable;
}

}  // namespace

struct Client::Upload {
  std::ifstream input;
  std::string name = random_upload_name();
  std::uint64_t sent_bytes = 0;
  Hasher hasher;
  HashDone done;
};

struct Client::Download {
  std::string hash;
  fs::path file;
  fs::path temporary_file;  // renamed to `file` once the hash has been checked
  std::ofstream output;
  std::uint64_t received_bytes = 0;
  Hasher hasher;
  Done done;

  void end(Outcome outcome) {
    output.close();
    std::error_code ignored;
    if (outcome != Outcome::ok) fs::remove(temporary_file, ignored);
    done(outcome);
  }

  // Appends the body to the file. Returns false if the write fails.
  bool write(const std::string& body) {
    hasher.add(body);
    received_bytes += body.size();
    return static_cast<bool>(output.write(body.data(), static_cast<std::streamsize>(body.size())));
  }

  // Called when all bytes have arrived. A file that was damaged in transit or in the artifact store
  // is not renamed to its final name.
  void complete() {
    output.close();
    if (hasher.hex() != hash) return end(Outcome::refused);
    std::error_code failed;
    if (output) fs::rename(temporary_file, file, failed);
    end(output && !failed ? Outcome::ok : Outcome::unavailable);
  }
};

Client::Client(actor::Loop& loop, const config::Endpoint& artifacts)
    : http_(loop, artifacts, kMaxConnections, kMaxQueue) {}

void Client::put_file(fs::path file, HashDone done) {
  auto upload = std::make_shared<Upload>();
  upload->input.open(file, std::ios::binary);
  upload->done = std::move(done);
  if (!upload->input) return upload->done(Outcome::absent, "");
  send_part(upload);
}

void Client::send_part(const std::shared_ptr<Upload>& upload) {
  std::string part(kMaxPartBytes, '\0');
  upload->input.read(part.data(), static_cast<std::streamsize>(part.size()));
  part.resize(static_cast<std::size_t>(upload->input.gcount()));
  if (part.empty()) return finish_upload(upload);
  upload->hasher.add(part);
  const std::uint64_t sent_bytes = upload->sent_bytes + part.size();
  std::string path = "/depot/parts/" + upload->name + "?at=" + std::to_string(upload->sent_bytes);
  http_.request("POST", std::move(path), std::move(part), kTimeoutS,
                [this, upload, sent_bytes](net::Result result) {
                  const auto body = nlohmann::json::parse(result.body, nullptr, false);
                  const bool is_stored = result.status == 200 && body.is_object() &&
                                         body.value("size", std::uint64_t{0}) == sent_bytes;
                  if (!is_stored) return upload->done(Outcome::unavailable, "");
                  upload->sent_bytes = sent_bytes;
                  send_part(upload);
                });
}

void Client::finish_upload(const std::shared_ptr<Upload>& upload) {
  const std::string hash = upload->hasher.hex();
  http_.request(
      "POST", "/depot/blobs/" + hash + "?from=" + upload->name, "-", kTimeoutS,
      [upload, hash](net::Result result) { upload->done(outcome_of_upload(result.status), hash); });
}

void Client::get_file(std::string hash, fs::path to, Done done) {
  auto download = std::make_shared<Download>();
  download->hash = std::move(hash);
  download->temporary_file = to;
  download->temporary_file += ".part";
  download->file = std::move(to);
  download->done = std::move(done);
  if (!valid_hash(download->hash)) return download->done(Outcome::refused);
  download->output.open(download->temporary_file, std::ios::binary | std::ios::trunc);
  if (!download->output) return download->done(Outcome::unavailable);
  fetch_part(download);
}

void Client::fetch_part(const std::shared_ptr<Download>& download) {
  const std::string path =
      "/depot/blobs/" + download->hash + "?at=" + std::to_string(download->received_bytes);
  http_.request("GET", path, "", kTimeoutS, [this, download](net::Result result) {
    if (result.status == 404) return download->end(Outcome::absent);
    if (result.status != 200) return download->end(Outcome::unavailable);
    if (result.body.empty()) return download->complete();
    if (!download->write(result.body)) return download->end(Outcome::unavailable);
    fetch_part(download);
  });
}

void Client::put_name(std::string name, Store::Named value, NameDone done) {
  http_.request("POST", "/depot/names/" + name, encode_named(value), kTimeoutS,
                [done = std::move(done)](net::Result result) {
                  const bool is_other = result.status == 409;
                  done(outcome_of_put(result.status),
                       is_other ? parse_named(result.body) : Store::Named{});
                });
}

void Client::get_name(std::string name, NameDone done) {
  http_.request(
      "GET", "/depot/names/" + name, "", kTimeoutS, [done = std::move(done)](net::Result result) {
        const bool is_there = result.status == 200;
        done(outcome_of_get(result.status), is_there ? parse_named(result.body) : Store::Named{});
      });
}

}  // namespace shunttrail::artifacts
