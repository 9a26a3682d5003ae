#ifndef DANDELIONMOUNT_VERSION_TABLE_READER_H
#define DANDELIONMOUNT_VERSION_TABLE_READER_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// The library asserts on some malformed files in debug builds; without assertions its parser reports them.
#define TOML_ASSERT(expression) static_cast<void>(0)
#include <toml++/toml.h>

namespace dandelionmount {

/// An error in a settings or configuration file, and what is allowed instead.
struct file_error {
    std::string file;
    std::uint32_t line{0};
    std::string key;
    std::string allowed;
};

/// "FILE:LINE: KEY: ALLOWED"
[[nodiscard]] std::string to_text(const file_error& error);
/// One error per line.
[[nodiscard]] std::string to_text(const std::vector<file_error>& errors);

/// Reads one TOML table. A value that is mistyped or out of range becomes an error, and so does an unknown
/// key; a missing value yields nullopt without an error.
class table_reader {
public:
    /// The table, the file name and the list of errors must outlive the reader. `section` names the table.
    table_reader(const toml::table& table, std::string_view file, std::string_view section,
                 std::vector<file_error>& errors);

    [[nodiscard]] std::optional<std::string> text(std::string_view key);
    /// Accepts integers from `min` to `max`.
    [[nodiscard]] std::optional<std::int64_t> integer(std::string_view key, std::int64_t min,
                                                      std::int64_t max);
    /// Accepts numbers from `min` to `max`.
    [[nodiscard]] std::optional<double> number(std::string_view key, double min, double max);
    [[nodiscard]] std::optional<bool> boolean(std::string_view key);
    [[nodiscard]] std::optional<std::vector<std::string>> texts(std::string_view key);
    /// Reports the keys that were not read.
    void finish();
    /// Adds an error at a key of this table.
    void report(std::string_view key, std::string_view allowed);
    [[nodiscard]] std::uint32_t line() const;

private:
    [[nodiscard]] const toml::node* find(std::string_view key);

    const toml::table& table_;
    std::string_view file_;
    std::string section_;
    std::vector<file_error>& errors_;
    std::set<std::string, std::less<>> read_keys_;
};

/// Parses TOML text; a syntax error is added to the list.
[[nodiscard]] std::optional<toml::table> parse_toml(std::string_view text, std::string_view file,
                                                    std::vector<file_error>& errors);

} // namespace dandelionmount

#endif
