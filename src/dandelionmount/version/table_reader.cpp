#include "dandelionmount/version/table_reader.h"

#include <cmath>

namespace dandelionmount {

namespace {

std::string join_key(std::string_view section, std::string_view key) {
    if (section.empty()) {
        return std::string(key);
    }
    return std::string(section) + "." + std::string(key);
}

std::string format_number(double value) {
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (!text.empty() && text.back() == '.') {
        text.pop_back();
    }
    return text;
}

} // namespace

std::string to_text(const file_error& error) {
    return error.file + ":" + std::to_string(error.line) + ": " + error.key + ": " + error.allowed;
}

std::string to_text(const std::vector<file_error>& errors) {
    std::string text;
    for (const auto& error : errors) {
        text += to_text(error) + "\n";
    }
    return text;
}

table_reader::table_reader(const toml::table& table, std::string_view file, std::string_view section,
                           std::vector<file_error>& errors)
    : table_(table), file_(file), section_(section), errors_(errors) {}

const toml::node* table_reader::find(std::string_view key) {
    read_keys_.emplace(key);
    return table_.get(key);
}

std::optional<std::string> table_reader::text(std::string_view key) {
    const toml::node* node = find(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    auto value = node->value_exact<std::string>();
    if (!value || value->empty()) {
        report(key, "a non-empty string");
        return std::nullopt;
    }
    return value;
}

std::optional<std::int64_t> table_reader::integer(std::string_view key, std::int64_t min, std::int64_t max) {
    const toml::node* node = find(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < min || *value > max) {
        report(key, "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return std::nullopt;
    }
    return value;
}

std::optional<double> table_reader::number(std::string_view key, double min, double max) {
    const toml::node* node = find(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    const bool numeric = node->is_number();
    const auto value = numeric ? node->value<double>() : std::nullopt;
    if (!value || !std::isfinite(*value) || *value < min || *value > max) {
        report(key, "a number from " + format_number(min) + " to " + format_number(max));
        return std::nullopt;
    }
    return value;
}

std::optional<bool> table_reader::boolean(std::string_view key) {
    const toml::node* node = find(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        report(key, "true or false");
    }
    return value;
}

std::optional<std::vector<std::string>> table_reader::texts(std::string_view key) {
    const toml::node* node = find(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    const toml::array* array = node->as_array();
    if (array == nullptr) {
        report(key, "a list of strings");
        return std::nullopt;
    }
    std::vector<std::string> values;
    for (const auto& element : *array) {
        const auto value = element.value_exact<std::string>();
        if (!value) {
            report(key, "a list of strings");
            return std::nullopt;
        }
        values.push_back(*value);
    }
    return values;
}

void table_reader::finish() {
    for (const auto& [key, node] : table_) {
        if (read_keys_.find(key.str()) == read_keys_.end()) {
            report(key.str(), "unknown key");
        }
    }
}

void table_reader::report(std::string_view key, std::string_view allowed) {
    const toml::node* node = table_.get(key);
    const std::uint32_t error_line = node == nullptr ? line() : node->source().begin.line;
    errors_.push_back({std::string(file_), error_line, join_key(section_, key), std::string(allowed)});
}

std::uint32_t table_reader::line() const {
    return table_.source().begin.line;
}

std::optional<toml::table> parse_toml(std::string_view text, std::string_view file,
                                      std::vector<file_error>& errors) {
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& error) {
        errors.push_back({std::string(file), error.source().begin.line, "syntax",
                          std::string("valid TOML (") + std::string(error.description()) + ")"});
        return std::nullopt;
    }
}

} // namespace dandelionmount
