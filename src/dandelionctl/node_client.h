#ifndef DANDELIONMOUNT_DANDELIONCTL_NODE_CLIENT_H
#define DANDELIONMOUNT_DANDELIONCTL_NODE_CLIENT_H

#include <json/json.h>
#include <optional>
#include <string>

namespace dandelionctl {

/// Client of the operator port of one node.
class node_client {
public:
    /// `address` is "IP:PORT".
    explicit node_client(std::string address) : address_(std::move(address)) {}
    /// Calls a method. nullopt on failure; error() gives the cause.
    [[nodiscard]] std::optional<Json::Value> call(const std::string& method, const Json::Value& parameters);
    /// The body of `GET path`. nullopt on failure; error() gives the cause.
    [[nodiscard]] std::optional<std::string> get(const std::string& path);
    [[nodiscard]] const std::string& error() const { return error_; }

private:
    std::string address_;
    std::string error_;
};

} // namespace dandelionctl

#endif
