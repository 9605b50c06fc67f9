#include "artifacts/server.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "log/log.h"

namespace shunttrail::artifacts {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBodyBytes =
    1024;  // bytes allowed in a request body beyond those of a part
constexpr std::size_t kMaxOffsetDigits = 15;
constexpr double kRetryAfterS = 1;
constexpr const char* kEmptyObject = "{}";

std::uint64_t read_offset(const net::Exchange& exchange) {
  const std::string text = net::query_value(exchange.query, "at");
  if (text.empty()) return 0;
  if (text.size() > kMaxOffsetDigits || text.find_first_not_of("0123456789") != std::string::npos)
    throw BadRequest("query value at is not a byte offset");
  return std::stoull(text);
}

// Returns the path without the prefix, or nothing if it does not have the prefix.
std::optional<std::string> without_prefix(const std::string& path, std::string_view prefix) {
  if (!path.starts_with(prefix)) return std::nullopt;
  return path.substr(prefix.size());
}

}  // namespace

Server::Server(actor::Loop& loop, const config::Endpoint& address, const std::filesystem::path& dir)
    : store_(dir),
      http_(loop, address, kMaxPartBytes + kMaxNameBodyBytes,
            [this](net::ExchangePtr exchange) { exchange->send(answer(*exchange)); }) {}

net::Answer Server::answer(const net::Exchange& exchange) {
  try {
    return dispatch(exchange);
  } catch (const BadRequest& error) {
    return net::error_response(400, error.what());
  } catch (const std::exception& error) {
    log::error("artifact store: request failed on a disk error",
               {{"path", exchange.path}, {"why", error.what()}});
    return net::error_response(507, error.what(), kRetryAfterS);
  }
}

net::Answer Server::dispatch(const net::Exchange& exchange) {
  const std::string& path = exchange.path;
  if (path == "/depot/up") return {200, kEmptyObject, 0};
  if (auto upload = without_prefix(path, "/depot/parts/")) return answer_part(*upload, exchange);
  if (auto hash = without_prefix(path, "/depot/blobs/")) return answer_blob(*hash, exchange);
  if (auto name = without_prefix(path, "/depot/names/"))
    return exchange.post ? put_name(*name, exchange.body) : get_name(*name);
  return net::error_response(404, "no such path");
}

net::Answer Server::answer_part(const std::string& upload, const net::Exchange& exchange) {
  if (!exchange.post) return net::error_response(405, "parts of an upload are sent by POST");
  const std::uint64_t size = store_.add_part(upload, read_offset(exchange), exchange.body);
  return {200, json{{"size", size}}.dump(), 0};
}

net::Answer Server::answer_blob(const std::string& hash, const net::Exchange& exchange) {
  if (exchange.post) {
    const std::string upload = net::query_value(exchange.query, "from");
    if (store_.finish(upload, hash)) return {200, kEmptyObject, 0};
    return net::error_response(422, "the upload's bytes do not have the hash " + hash);
  }
  if (auto bytes = store_.read(hash, read_offset(exchange), kMaxPartBytes))
    return {200, std::move(*bytes), 0};
  return net::error_response(404, "no blob with the hash " + hash);
}

net::Answer Server::get_name(const std::string& name) const {
  if (auto value = store_.get_name(name)) return {200, encode_named(*value), 0};
  return net::error_response(404, "no value under the name " + name);
}

net::Answer Server::put_name(const std::string& name, const std::string& body) {
  const auto value = decode_named(body);
  if (!value) throw BadRequest("the body is not a value with a version");
  switch (store_.put_name(name, *value)) {
    case Store::Put::created:
      return {201, kEmptyObject, 0};
    case Store::Put::same:
      return {200, kEmptyObject, 0};
    case Store::Put::refused:
      break;
  }
  return {409, encode_named(*store_.get_name(name)), 0};
}

}  // namespace shunttrail::artifacts
