#ifndef DANDELIONMOUNT_PROCESS_SETTINGS_SECTIONS_H
#define DANDELIONMOUNT_PROCESS_SETTINGS_SECTIONS_H

#include "dandelionmount/version/table_reader.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// The sections of a settings file; what is wrong with them is added to the list of errors.
class settings_sections {
public:
    /// The table, the file's name and the list outlive this.
    settings_sections(const toml::table& root, std::string_view file, std::vector<file_error>& errors)
        : root_(root), file_(file), errors_(errors) {}

    /// A reader of one section. An absent section reads as an empty one, so that each missing key is named.
    [[nodiscard]] table_reader open(std::string_view name);
    /// Reads the section `log`, which holds the level alone.
    void read_log_level(std::string& level);
    /// Reports sections of other names.
    void check_names(std::span<const std::string_view> known);

private:
    const toml::table& root_;
    std::string_view file_;
    std::vector<file_error>& errors_;
};

} // namespace dandelionmount

#endif
