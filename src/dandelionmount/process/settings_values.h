#ifndef DANDELIONMOUNT_PROCESS_SETTINGS_VALUES_H
#define DANDELIONMOUNT_PROCESS_SETTINGS_VALUES_H

#include "dandelionmount/version/table_reader.h"

#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// Reads a required text. A missing value, or one of another type, is added to the reader's list of errors,
/// `errors`.
void read_required_text(table_reader& reader, const std::vector<file_error>& errors, std::string_view key,
                        std::string& target);
/// The same for an address, "IP:PORT".
void read_required_address(table_reader& reader, const std::vector<file_error>& errors, std::string_view key,
                           std::string& target);

} // namespace dandelionmount

#endif
