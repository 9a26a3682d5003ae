#include "dandelionmount/process/settings.h"

#include "dandelionmount/connection/address.h"
#include "dandelionmount/process/settings_sections.h"
#include "dandelionmount/process/settings_values.h"

#include <array>

namespace dandelionmount {

namespace {

constexpr std::int64_t max_slot = 9999;
constexpr std::int64_t max_hosts_per_zone = 10000;
constexpr std::int64_t max_bytes = 64LL * 1024 * 1024;
constexpr std::int64_t max_connections = 100000;
constexpr std::int64_t max_wait_ms = 3600000;

constexpr std::array<std::string_view, 6> section_names{"host", "platform", "fleet", "zone", "limits", "log"};

// Reads the sections of one settings file.
class settings_reader {
public:
    settings_reader(const toml::table& root, std::string_view file, settings_outcome& outcome)
        : root_(root), file_(file), errors_(outcome.errors), sections_(root, file, outcome.errors) {}

    settings read() {
        settings value;
        read_host(value);
        read_platform(value);
        read_fleet(value);
        read_zones(value);
        read_limits(value);
        sections_.read_log_level(value.log_level);
        sections_.check_names(section_names);
        return value;
    }

private:
    void read_host(settings& value) {
        table_reader reader = sections_.open("host");
        read_required_text(reader, errors_, "name", value.host);
        read_required_text(reader, errors_, "zone", value.zone);
        value.slot = static_cast<std::uint32_t>(reader.integer("slot", 0, max_slot).value_or(0));
        read_required_address(reader, errors_, "caller_address", value.caller_address);
        read_required_address(reader, errors_, "peer_address", value.peer_address);
        read_required_address(reader, errors_, "target_address", value.target_address);
        read_required_address(reader, errors_, "operator_address", value.operator_address);
        const auto stop_wait = reader.integer("stop_wait_ms", 0, max_wait_ms);
        value.stop_wait = std::chrono::milliseconds(stop_wait.value_or(value.stop_wait.count()));
        reader.finish();
    }

    void read_platform(settings& value) {
        table_reader reader = sections_.open("platform");
        read_required_address(reader, errors_, "log_address", value.platform_address);
        reader.finish();
    }

    void read_fleet(settings& value) {
        table_reader reader = sections_.open("fleet");
        read_required_text(reader, errors_, "secret_file", value.secret_file);
        value.seeds = reader.texts("seeds").value_or(std::vector<std::string>{});
        for (const auto& seed : value.seeds) {
            if (!is_address(seed)) {
                reader.report("seeds", "a list of strings, each an IP address, a colon and a port");
            }
        }
        reader.finish();
    }

    void read_zones(settings& value) {
        const toml::node* node = root_.get("zone");
        if (node == nullptr) {
            return;
        }
        const toml::array* array = node->as_array();
        if (array == nullptr || !array->is_array_of_tables()) {
            errors_.push_back({std::string(file_), node->source().begin.line, "zone",
                               "a list of tables, written [[zone]]"});
            return;
        }
        for (const auto& element : *array) {
            table_reader reader(*element.as_table(), file_, "zone", errors_);
            zone_settings zone;
            read_required_text(reader, errors_, "name", zone.name);
            zone.hosts =
                static_cast<std::uint32_t>(reader.integer("hosts", 1, max_hosts_per_zone).value_or(1));
            reader.finish();
            value.zones.push_back(zone);
        }
    }

    void read_limits(settings& value) {
        caller_limits& limits = value.limits;
        table_reader reader = sections_.open("limits");
        const auto header = reader.integer("header_bytes", 256, max_bytes);
        const auto body = reader.integer("body_bytes", 0, max_bytes);
        const auto connections = reader.integer("connections", 1, max_connections);
        const auto idle_ms = reader.integer("idle_ms", 1, max_wait_ms);
        const auto receive_ms = reader.integer("receive_ms", 1, max_wait_ms);
        reader.finish();
        limits.header_bytes = static_cast<std::uint32_t>(header.value_or(limits.header_bytes));
        limits.body_bytes = static_cast<std::uint32_t>(body.value_or(limits.body_bytes));
        limits.connections = static_cast<std::uint32_t>(connections.value_or(limits.connections));
        limits.idle_timeout = std::chrono::milliseconds(idle_ms.value_or(limits.idle_timeout.count()));
        limits.receive_timeout =
            std::chrono::milliseconds(receive_ms.value_or(limits.receive_timeout.count()));
    }

    const toml::table& root_;
    std::string_view file_;
    std::vector<file_error>& errors_;
    settings_sections sections_;
};

} // namespace

settings_outcome read_settings(const configuration_file& file) {
    settings_outcome outcome;
    const auto root = parse_toml(file.text, file.name, outcome.errors);
    if (!root) {
        return outcome;
    }
    settings value = settings_reader(*root, file.name, outcome).read();
    if (outcome.errors.empty()) {
        outcome.value = std::move(value);
    }
    return outcome;
}

bool is_address(std::string_view text) {
    return parse_address(text).has_value();
}

} // namespace dandelionmount
