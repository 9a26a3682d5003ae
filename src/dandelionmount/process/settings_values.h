#ifndef DANDELIONMOUNT_PROCESS_SETTINGS_VALUES_H
#define DANDELIONMOUNT_PROCESS_SETTINGS_VALUES_H

#include "dandelionmount/version/table_reader.h"

#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// Reads a required text. Reports a missing value or one of another type; `errors` is the list that the
/// reader adds errors to.
void read_required_text(table_reader& reader, const std::vector<file_error>& errors, std::string_view key,
                        std::string& destination);
/// The same for an address, "IP:PORT".
void read_required_address(table_reader& reader, const std::vector<file_error>& errors, std::string_view key,
                           std::string& destination);

} // namespace dandelionmount

#endif
