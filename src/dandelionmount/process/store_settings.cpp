#include "dandelionmount/process/store_settings.h"

#include "dandelionmount/process/settings_sections.h"
#include "dandelionmount/process/settings_values.h"
#include "dandelionmount/version/duration_text.h"

#include <array>

namespace dandelionmount {

namespace {

constexpr std::int64_t max_retry_slack = 1000000;

constexpr std::array<std::string_view, 4> section_names{"host", "platform", "fleet", "log"};

// Reads the sections of one settings file.
class store_settings_reader {
public:
    store_settings_reader(const toml::table& root, std::string_view file, std::vector<file_error>& errors)
        : errors_(errors), sections_(root, file, errors) {}

    store_settings read() {
        store_settings value;
        read_host(value);
        read_platform(value);
        read_fleet(value);
        sections_.read_log_level(value.log_level);
        sections_.check_names(section_names);
        return value;
    }

private:
    static void read_positive_duration(table_reader& reader, std::string_view key,
                                       std::chrono::milliseconds& destination) {
        const auto text = reader.text(key);
        const auto value = text ? read_duration(*text) : std::nullopt;
        if (value && *value > std::chrono::milliseconds(0)) {
            destination = *value;
        } else if (text) {
            reader.report(key, "a positive duration with its unit, such as \"1500ms\" or \"2.5s\"");
        }
    }

    void read_host(store_settings& value) {
        table_reader reader = sections_.open("host");
        read_required_text(reader, errors_, "name", value.host);
        read_required_text(reader, errors_, "zone", value.zone);
        read_required_text(reader, errors_, "service", value.service);
        read_required_address(reader, errors_, "caller_address", value.caller_address);
        read_required_address(reader, errors_, "readiness_address", value.readiness_address);
        read_required_address(reader, errors_, "announcement_address", value.announcement_address);
        read_required_address(reader, errors_, "target_address", value.target_address);
        read_required_address(reader, errors_, "peer_address", value.peer_address);
        read_required_address(reader, errors_, "operator_address", value.operator_address);
        read_positive_duration(reader, "announcement_interval", value.announcement_interval);
        read_positive_duration(reader, "stop_wait", value.stop_wait);
        reader.finish();
    }

    void read_platform(store_settings& value) {
        table_reader reader = sections_.open("platform");
        read_required_address(reader, errors_, "store_address", value.store_address);
        reader.finish();
    }

    void read_fleet(store_settings& value) {
        table_reader reader = sections_.open("fleet");
        read_positive_duration(reader, "key_withdrawal", value.key_withdrawal);
        value.retry_share = reader.number("retry_share", 0, 1).value_or(value.retry_share);
        const auto slack = reader.number("retry_slack", 0, max_retry_slack);
        value.retry_slack = slack ? static_cast<std::uint32_t>(*slack) : value.retry_slack;
        read_positive_duration(reader, "retry_window", value.retry_window);
        reader.finish();
    }

    std::vector<file_error>& errors_;
    settings_sections sections_;
};

} // namespace

bool uses_record_store(const configuration_file& file) {
    std::vector<file_error> errors;
    const auto root = parse_toml(file.text, file.name, errors);
    const auto* platform = root ? root->get_as<toml::table>("platform") : nullptr;
    return platform != nullptr && platform->contains("store_address");
}

store_settings_outcome read_store_settings(const configuration_file& file) {
    store_settings_outcome outcome;
    const auto root = parse_toml(file.text, file.name, outcome.errors);
    if (!root) {
        return outcome;
    }
    store_settings value = store_settings_reader(*root, file.name, outcome.errors).read();
    if (outcome.errors.empty()) {
        outcome.value = std::move(value);
    }
    return outcome;
}

} // namespace dandelionmount
