#include "artifacts/client.h"

#include <sodium.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "artifacts/server.h"

namespace shunttrail::artifacts {
namespace fs = std::filesystem;
namespace {
constexpr double kTimeout = 10;

std::string fresh_upload() {
  if (sodium_init() < 0) throw std::runtime_error("libsodium cannot be used");
  unsigned char b[16];
  randombytes_buf(b, sizeof b);
  char out[33];
  sodium_bin2hex(out, sizeof out, b, sizeof b);
  return out;
}

Store::Named named_of(const std::string& body) {
  return decode_named(body).value_or(Store::Named{});
}
}  // namespace

struct Client::Upload {
  std::ifstream in;
  fs::path file;
  std::string name = fresh_upload();
  std::uint64_t at = 0;
  Hasher hasher;
  HashDone done;
};
struct Client::Download {
  std::string hash;
  fs::path to, aside;
  std::ofstream out;
  std::uint64_t at = 0;
  Hasher hasher;
  Done done;
};

Client::Client(actor::Loop& loop, const config::Endpoint& artifacts)
    : http_(loop, artifacts, 4, 4096) {}

void Client::put_file(fs::path file, HashDone done) {
  auto u = std::make_shared<Upload>();
  u->in.open(file, std::ios::binary);
  u->file = std::move(file);
  u->done = std::move(done);
  if (!u->in) return u->done(Outcome::absent, "");
  push(u);
}

void Client::push(std::shared_ptr<Upload> u) {
  std::string part(kPart, '\0');
  u->in.read(part.data(), static_cast<std::streamsize>(part.size()));
  part.resize(static_cast<std::size_t>(u->in.gcount()));
  if (part.empty()) {
    std::string hash = u->hasher.hex();
    http_.request("POST", "/depot/blobs/" + hash + "?from=" + u->name, "-", kTimeout,
                  [u, hash](net::Result r) {
                    u->done(r.status == 200   ? Outcome::ok
                            : r.status == 422 ? Outcome::refused
                                              : Outcome::later,
                            hash);
                  });
    return;
  }
  u->hasher.add(part);
  std::uint64_t after = u->at + part.size();
  std::string path = "/depot/parts/" + u->name + "?at=" + std::to_string(u->at);
  http_.request(
      "POST", std::move(path), std::move(part), kTimeout, [this, u, after](net::Result r) {
        auto j = nlohmann::json::parse(r.body, nullptr, false);
        if (r.status != 200 || !j.is_object() || j.value("size", std::uint64_t{0}) != after)
          return u->done(Outcome::later, "");
        u->at = after;
        push(u);
      });
}

void Client::get_file(std::string hash, fs::path to, Done done) {
  auto d = std::make_shared<Download>();
  d->hash = std::move(hash);
  d->aside = to;
  d->aside += ".part";
  d->to = std::move(to);
  d->done = std::move(done);
  if (!valid_hash(d->hash)) return d->done(Outcome::refused);
  d->out.open(d->aside, std::ios::binary | std::ios::trunc);
  if (!d->out) return d->done(Outcome::later);
  pull(d);
}

void Client::pull(std::shared_ptr<Download> d) {
  http_.request("GET", "/depot/blobs/" + d->hash + "?at=" + std::to_string(d->at), "", kTimeout,
                [this, d](net::Result r) {
                  auto end = [&](Outcome o) {
                    d->out.close();
                    std::error_code ignored;
                    if (o != Outcome::ok) fs::remove(d->aside, ignored);
                    d->done(o);
                  };
                  if (r.status == 404) return end(Outcome::absent);
                  if (r.status != 200) return end(Outcome::later);
                  if (!r.body.empty()) {
                    d->hasher.add(r.body);
                    d->at += r.body.size();
                    if (!d->out.write(r.body.data(), static_cast<std::streamsize>(r.body.size())))
                      return end(Outcome::later);
                    return pull(d);
                  }
                  d->out.close();
                  // Damaged on the way or in the artifact store: never shown under its name.
                  if (d->hasher.hex() != d->hash) return end(Outcome::refused);
                  std::error_code failed;
                  if (d->out) fs::rename(d->aside, d->to, failed);
                  end(d->out && !failed ? Outcome::ok : Outcome::later);
                });
}

void Client::put_name(std::string name, Store::Named n, NameDone done) {
  http_.request("POST", "/depot/names/" + name, encode_named(n), kTimeout,
                [done = std::move(done)](net::Result r) {
                  if (r.status == 200 || r.status == 201) return done(Outcome::ok, {});
                  if (r.status == 409) return done(Outcome::refused, named_of(r.body));
                  done(r.status == 400 || r.status == 413 ? Outcome::refused : Outcome::later, {});
                });
}

void Client::get_name(std::string name, NameDone done) {
  http_.request("GET", "/depot/names/" + name, "", kTimeout,
                [done = std::move(done)](net::Result r) {
                  if (r.status == 200) return done(Outcome::ok, named_of(r.body));
                  done(r.status == 404   ? Outcome::absent
                       : r.status == 400 ? Outcome::refused
                                         : Outcome::later,
                       {});
                });
}

}  // namespace shunttrail::artifacts
