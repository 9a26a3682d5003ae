#include "dandelionmount/process/settings_values.h"

#include "dandelionmount/process/settings.h"

namespace dandelionmount {

void read_required_text(table_reader& reader, const std::vector<file_error>& errors, std::string_view key,
                        std::string& destination) {
    const std::size_t errors_before = errors.size();
    const auto value = reader.text(key);
    if (value) {
        destination = *value;
    } else if (errors.size() == errors_before) {
        reader.report(key, "needed here");
    }
}

void read_required_address(table_reader& reader, const std::vector<file_error>& errors, std::string_view key,
                           std::string& destination) {
    const std::size_t errors_before = errors.size();
    read_required_text(reader, errors, key, destination);
    if (errors.size() == errors_before && !is_address(destination)) {
        reader.report(key, "an IP address, a colon and a port");
    }
}

} // namespace dandelionmount
