#include "dandelionmount/process/settings_sections.h"

#include <algorithm>
#include <set>

namespace dandelionmount {

table_reader settings_sections::open(std::string_view name) {
    static const toml::table empty;
    const toml::node* node = root_.get(name);
    const toml::table* table = node == nullptr ? &empty : node->as_table();
    if (table == nullptr) {
        errors_.push_back({std::string(file_), node->source().begin.line, std::string(name), "a table"});
        table = &empty;
    }
    return {*table, file_, name, errors_};
}

void settings_sections::read_log_level(std::string& level) {
    table_reader reader = open("log");
    level = reader.text("level").value_or(level);
    static const std::set<std::string_view> levels = {"debug", "info", "warning", "error"};
    if (!levels.contains(level)) {
        reader.report("level", "debug, info, warning or error");
    }
    reader.finish();
}

void settings_sections::check_names(std::span<const std::string_view> known) {
    std::string allowed;
    for (const auto name : known) {
        allowed.append(allowed.empty() ? "one of " : ", ").append(name);
    }
    for (const auto& [key, node] : root_) {
        if (std::find(known.begin(), known.end(), key.str()) == known.end()) {
            errors_.push_back(
                {std::string(file_), node.source().begin.line, std::string(key.str()), allowed});
        }
    }
}

} // namespace dandelionmount
