#include "cli/controller_status.h"

#include <cstdio>
#include <string>

namespace shunttrail::cli {
using nlohmann::json;
namespace {

void print_active_level(const json& status) {
  const json& stands = status.at("stands");
  std::printf("state level %d is active", status.at("active").get<int>());
  if (stands[0] != stands[1])
    std::printf("; forms of %d to %d stand, %.0f%% converted", stands[0].get<int>(),
                stands[1].get<int>(), 100 * status.at("converted").get<double>());
  std::printf("\n");
}

void print_node(const json& node) {
  std::printf("  %s: ", node.at("name").get<std::string>().c_str());
  if (!node.at("alive").get<bool>()) {
    std::printf("not there%s\n", node.value("gone", false) ? ", declared gone" : "");
    return;
  }
  std::printf("reads %d to %d, writes %d\n", node.at("reads")[0].get<int>(),
              node.at("reads")[1].get<int>(), node.at("writes").get<int>());
}

}  // namespace

void print_schema_status(const json& status) {
  print_active_level(status);
  for (const json& node : status.at("nodes")) print_node(node);
  if (status.contains("hold")) std::printf("held at %d by order\n", status["hold"].get<int>());
  for (const json& holder : status.at("held_by"))
    std::printf("held back by %s, which %s, for %.0f s\n",
                holder.at("by").get<std::string>().c_str(),
                holder.at("why").get<std::string>().c_str(), holder.at("since_s").get<double>());
  if (status.contains("serves_nothing"))
    std::printf("%s serves nothing: %s\n", status.at("node").get<std::string>().c_str(),
                status["serves_nothing"].get<std::string>().c_str());
}

void print_relay_status(const json& status) {
  const std::string node = status.at("node").get<std::string>();
  std::printf("%s passes reports on: %s\n", node.c_str(),
              status.at("relay").get<bool>() ? "yes" : "switched off");
  for (const json& link : status.at("links"))
    std::printf("workers in %s do not reach %s, for %.0f s: by way of %s\n",
                link.at("workers_in").get<std::string>().c_str(),
                link.at("to").get<std::string>().c_str(), link.at("since_s").get<double>(),
                link.at("by").get<std::string>().c_str());
  for (const json& peer : status.at("reports"))
    std::printf("  %s: %llu passed on to it, %llu of them unanswered, %llu taken from it\n",
                peer.at("to").get<std::string>().c_str(),
                peer.at("passed").get<unsigned long long>(),
                peer.at("unanswered").get<unsigned long long>(),
                peer.at("taken").get<unsigned long long>());
}

}  // namespace shunttrail::cli
