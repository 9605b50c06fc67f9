#include "artifacts/server.h"

#include <nlohmann/json.hpp>

#include "log/log.h"

namespace shunttrail::artifacts {
namespace {
using nlohmann::json;

std::string no(const std::string& why) {
  return json{{"error", why}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::uint64_t offset(const net::Exchange& ex) {
  std::string s = net::query_value(ex.query, "at");
  if (s.empty()) return 0;
  if (s.size() > 15 || s.find_first_not_of("0123456789") != std::string::npos)
    throw BadRequest("at is not a count");
  return std::stoull(s);
}

}  // namespace

Server::Server(actor::Loop& loop, const config::Endpoint& at, const std::filesystem::path& dir)
    : store_(dir), http_(loop, at, kPart + 1024, [this](net::ExchangePtr ex) {
        net::Answer a;
        try {
          a = answer(*ex);
        } catch (const BadRequest& e) {
          a = {400, no(e.what()), 0};
        } catch (const std::exception& e) {
          log::error("the depot's disk", {{"path", ex->path}, {"why", e.what()}});
          a = {507, no(e.what()), 1};
        }
        ex->send(a);
      }) {}

net::Answer Server::answer(const net::Exchange& ex) {
  auto rest = [&](const char* prefix) { return ex.path.substr(std::string(prefix).size()); };
  if (ex.path == "/depot/up") return {200, "{}", 0};
  if (ex.path.starts_with("/depot/parts/")) return parts(rest("/depot/parts/"), ex);
  if (ex.path.starts_with("/depot/blobs/")) return blobs(rest("/depot/blobs/"), ex);
  if (ex.path.starts_with("/depot/names/")) return names(rest("/depot/names/"), ex);
  return {404, no("no such path"), 0};
}

net::Answer Server::parts(const std::string& upload, const net::Exchange& ex) {
  if (!ex.post) return {405, no("POST it"), 0};
  return {200, json{{"size", store_.add_part(upload, offset(ex), ex.body)}}.dump(), 0};
}

net::Answer Server::blobs(const std::string& hash, const net::Exchange& ex) {
  if (ex.post) {
    if (store_.finish(net::query_value(ex.query, "from"), hash)) return {200, "{}", 0};
    return {422, no("its bytes have another hash"), 0};
  }
  if (auto bytes = store_.read(hash, offset(ex), kPart)) return {200, std::move(*bytes), 0};
  return {404, no("no such blob"), 0};
}

net::Answer Server::names(const std::string& name, const net::Exchange& ex) {
  if (!ex.post) {
    if (auto n = store_.get_name(name)) return {200, encode_named(*n), 0};
    return {404, no("no such name"), 0};
  }
  auto n = decode_named(ex.body);
  if (!n) throw BadRequest("not a value with a version");
  switch (store_.put_name(name, *n)) {
    case Store::Put::created:
      return {201, "{}", 0};
    case Store::Put::same:
      return {200, "{}", 0};
    case Store::Put::refused:
      break;
  }
  return {409, encode_named(*store_.get_name(name)), 0};
}

}  // namespace shunttrail::artifacts
