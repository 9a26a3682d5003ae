#ifndef DANDELIONMOUNT_PROCESS_SETTINGS_SECTIONS_H
#define DANDELIONMOUNT_PROCESS_SETTINGS_SECTIONS_H

#include "dandelionmount/version/table_reader.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionmount {

/// The sections of a settings file. Errors in them are added to the list.
class settings_sections {
public:
    /// `root`, `file` and `errors` must outlive this object.
    settings_sections(const toml::table& root, std::string_view file, std::vector<file_error>& errors)
        : root_(root), file_(file), errors_(errors) {}

    /// A reader of one section. A missing section reads as an empty one, so that each missing key is
    /// reported.
    [[nodiscard]] table_reader open(std::string_view name);
    /// Reads the section `log`, whose only key is `level`.
    void read_log_level(std::string& level);
    /// Reports sections with unknown names.
    void check_names(std::span<const std::string_view> known);

private:
    const toml::table& root_;
    std::string_view file_;
    std::vector<file_error>& errors_;
};

} // namespace dandelionmount

#endif
