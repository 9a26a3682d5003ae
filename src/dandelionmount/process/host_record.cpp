#include "dandelionmount/process/host_record.h"

#include <nlohmann/json.hpp>

namespace dandelionmount {

std::string write_host_record(const wire::member_record& record) {
    nlohmann::json text{{"incarnation", record.incarnation()},
                        {"zone", record.zone()},
                        {"address", record.address()},
                        {"service", record.service()},
                        {"target", static_cast<int>(record.target())},
                        {"slots", record.target_slots()}};
    if (record.left_incarnation() != 0) {
        text["left"] = record.left_incarnation();
    }
    return text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<wire::member_record> read_host_record(std::string_view host, std::string_view text) {
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    wire::member_record record;
    try {
        const int target = parsed.at("target").get<int>();
        if (!wire::target_state_IsValid(target)) {
            return std::nullopt;
        }
        record.set_host(std::string(host));
        record.set_incarnation(parsed.at("incarnation").get<std::uint64_t>());
        record.set_zone(parsed.at("zone").get<std::string>());
        record.set_address(parsed.at("address").get<std::string>());
        record.set_service(parsed.at("service").get<std::string>());
        record.set_target(static_cast<wire::target_state>(target));
        record.set_target_slots(parsed.at("slots").get<std::uint32_t>());
        if (parsed.contains("left")) {
            record.set_left_incarnation(parsed.at("left").get<std::uint64_t>());
        }
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
    return record;
}

} // namespace dandelionmount
