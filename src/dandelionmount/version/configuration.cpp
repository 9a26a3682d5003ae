#include "dandelionmount/version/configuration.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace dandelionmount {

namespace {

constexpr double max_rate = 1e7;
constexpr double min_rate = 0.01;
constexpr std::int64_t max_retries = 16;
constexpr std::int64_t max_priority = 9;
constexpr std::int64_t max_timeout_ms = 600000;
constexpr std::int64_t max_hosts_per_zone = 10000;
constexpr std::int64_t max_seconds = 86400;
constexpr std::size_t key_hash_digits = 64;
constexpr std::size_t key_id_digits = 16;
constexpr std::size_t max_name_length = 64;

// An entry with optional fields: an overlay contains only what it changes.
struct partial_entry {
    std::string file;
    std::uint32_t line{0};
    std::string name;
    std::optional<std::string> service;
    std::optional<double> rate;
    std::optional<double> burst;
    std::optional<std::vector<std::string>> keys;
    std::optional<bool> strict;
    std::optional<std::int64_t> retries;
    std::optional<double> retry_budget;
    std::optional<bool> idempotent;
    std::optional<std::int64_t> priority;
    std::optional<std::int64_t> timeout_ms;
    std::optional<std::int64_t> timeout_limit_ms;
    std::optional<std::int64_t> latency_objective_ms;
    std::optional<bool> open;
    std::optional<std::vector<std::string>> accounts;
    std::optional<std::int64_t> hosts;
};

struct partial_fleet {
    std::optional<std::int64_t> isolated_serving_s;
    std::optional<std::int64_t> strict_isolated_serving_s;
    std::optional<std::int64_t> idempotency_window_s;
};

struct partial_configuration {
    partial_fleet fleet;
    std::vector<partial_entry> zones;
    std::vector<partial_entry> accounts;
    std::vector<partial_entry> services;
    std::vector<partial_entry> routes;
};

using entry_reader = std::function<void(table_reader&, partial_entry&)>;

template <typename T>
void override_with(std::optional<T>& value, const std::optional<T>& overlay) {
    if (overlay) {
        value = overlay;
    }
}

bool is_name(std::string_view text) {
    if (text.empty() || text.size() > max_name_length) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char character) {
        const auto value = static_cast<unsigned char>(character);
        return std::isalnum(value) != 0 || character == '-' || character == '_' || character == '.';
    });
}

bool is_prefix(std::string_view text) {
    const bool has_only_path_characters = std::all_of(text.begin(), text.end(), [](char character) {
        return static_cast<unsigned char>(character) > 0x20 && character != '?' && character != '#';
    });
    return !text.empty() && text.front() == '/' && has_only_path_characters;
}

bool is_key_hash(std::string_view text) {
    const bool digits = std::all_of(text.begin(), text.end(), [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    });
    return digits && text.size() == key_hash_digits;
}

void read_zone(table_reader& reader, partial_entry& entry) {
    entry.hosts = reader.integer("hosts", 1, max_hosts_per_zone);
}

void read_account(table_reader& reader, partial_entry& entry) {
    entry.rate = reader.number("rate", min_rate, max_rate);
    entry.burst = reader.number("burst", 1, max_rate);
    entry.strict = reader.boolean("strict");
    entry.keys = reader.texts("keys");
    if (entry.keys && !std::all_of(entry.keys->begin(), entry.keys->end(), is_key_hash)) {
        reader.report("keys", "a list of SHA-256 hashes, 64 lower-case hexadecimal digits each");
    }
}

void read_service(table_reader& reader, partial_entry& entry) {
    entry.retries = reader.integer("retries", 0, max_retries);
    entry.retry_budget = reader.number("retry_budget", 0, 1);
}

void read_route(table_reader& reader, partial_entry& entry) {
    entry.service = reader.text("service");
    entry.idempotent = reader.boolean("idempotent");
    entry.priority = reader.integer("priority", 0, max_priority);
    entry.timeout_ms = reader.integer("timeout_ms", 1, max_timeout_ms);
    entry.timeout_limit_ms = reader.integer("timeout_limit_ms", 1, max_timeout_ms);
    entry.latency_objective_ms = reader.integer("latency_objective_ms", 1, max_timeout_ms);
    entry.open = reader.boolean("open");
    entry.accounts = reader.texts("accounts");
}

// Reads the entries of one kind of one file; two with the same name are an error.
class entry_list_reader {
public:
    entry_list_reader(const toml::table& root, std::string_view file, std::vector<file_error>& errors)
        : root_(root), file_(file), errors_(errors) {}

    std::vector<partial_entry> read(std::string_view kind, std::string_view name_key,
                                    const entry_reader& read_fields) {
        std::vector<partial_entry> entries;
        const toml::node* node = root_.get(kind);
        if (node == nullptr) {
            return entries;
        }
        const toml::array* array = node->as_array();
        if (array == nullptr || !array->is_array_of_tables()) {
            errors_.push_back({std::string(file_), node->source().begin.line, std::string(kind),
                               "a list of tables, written [[" + std::string(kind) + "]]"});
            return entries;
        }
        std::set<std::string> names;
        for (const auto& element : *array) {
            read_entry(*element.as_table(), kind, name_key, read_fields, names, entries);
        }
        return entries;
    }

private:
    void read_entry(const toml::table& table, std::string_view kind, std::string_view name_key,
                    const entry_reader& read_fields, std::set<std::string>& names,
                    std::vector<partial_entry>& entries) {
        table_reader reader(table, file_, kind, errors_);
        partial_entry entry;
        entry.file = std::string(file_);
        entry.line = reader.line();
        const bool is_route = name_key == "prefix";
        const auto name = reader.text(name_key);
        if (!name) {
            reader.report(name_key, "needed here");
        } else if (is_route ? !is_prefix(*name) : !is_name(*name)) {
            reader.report(name_key, is_route ? "a path that starts with / and has no space, ? or #"
                                             : "1 to 64 letters, digits, -, _ or .");
        } else if (!names.insert(*name).second) {
            reader.report(name_key, "a name that no other " + std::string(kind) + " of this file has");
        }
        entry.name = name.value_or("");
        read_fields(reader, entry);
        reader.finish();
        entries.push_back(std::move(entry));
    }

    const toml::table& root_;
    std::string_view file_;
    std::vector<file_error>& errors_;
};

partial_fleet read_fleet(const toml::table& root, std::string_view file, std::vector<file_error>& errors) {
    partial_fleet fleet;
    const toml::node* node = root.get("fleet");
    if (node == nullptr) {
        return fleet;
    }
    if (!node->is_table()) {
        errors.push_back({std::string(file), node->source().begin.line, "fleet", "a table"});
        return fleet;
    }
    table_reader reader(*node->as_table(), file, "fleet", errors);
    fleet.isolated_serving_s = reader.integer("isolated_serving_s", 1, max_seconds);
    fleet.strict_isolated_serving_s = reader.integer("strict_isolated_serving_s", 1, max_seconds);
    fleet.idempotency_window_s = reader.integer("idempotency_window_s", 1, max_seconds);
    reader.finish();
    return fleet;
}

partial_configuration read_file(const configuration_file& file, std::vector<file_error>& errors) {
    partial_configuration partial;
    const auto root = parse_toml(file.text, file.name, errors);
    if (!root) {
        return partial;
    }
    for (const auto& [key, node] : *root) {
        static const std::set<std::string_view> known_sections = {"fleet", "zone", "account", "service",
                                                                  "route"};
        if (known_sections.find(key.str()) == known_sections.end()) {
            errors.push_back({file.name, node.source().begin.line, std::string(key.str()),
                              "one of fleet, zone, account, service, route"});
        }
    }
    partial.fleet = read_fleet(*root, file.name, errors);
    entry_list_reader reader(*root, file.name, errors);
    partial.zones = reader.read("zone", "name", read_zone);
    partial.accounts = reader.read("account", "name", read_account);
    partial.services = reader.read("service", "name", read_service);
    partial.routes = reader.read("route", "prefix", read_route);
    return partial;
}

void override_entry(partial_entry& entry, const partial_entry& overlay) {
    entry.file = overlay.file;
    entry.line = overlay.line;
    override_with(entry.service, overlay.service);
    override_with(entry.rate, overlay.rate);
    override_with(entry.burst, overlay.burst);
    override_with(entry.keys, overlay.keys);
    override_with(entry.strict, overlay.strict);
    override_with(entry.retries, overlay.retries);
    override_with(entry.retry_budget, overlay.retry_budget);
    override_with(entry.idempotent, overlay.idempotent);
    override_with(entry.priority, overlay.priority);
    override_with(entry.timeout_ms, overlay.timeout_ms);
    override_with(entry.timeout_limit_ms, overlay.timeout_limit_ms);
    override_with(entry.latency_objective_ms, overlay.latency_objective_ms);
    override_with(entry.open, overlay.open);
    override_with(entry.accounts, overlay.accounts);
    override_with(entry.hosts, overlay.hosts);
}

void merge_entries(std::vector<partial_entry>& entries, const std::vector<partial_entry>& overlay) {
    for (const auto& entry : overlay) {
        const auto same_name = [&entry](const partial_entry& other) { return other.name == entry.name; };
        const auto found = std::find_if(entries.begin(), entries.end(), same_name);
        if (found == entries.end()) {
            entries.push_back(entry);
        } else {
            override_entry(*found, entry);
        }
    }
}

void merge(partial_configuration& base, const partial_configuration& overlay) {
    override_with(base.fleet.isolated_serving_s, overlay.fleet.isolated_serving_s);
    override_with(base.fleet.strict_isolated_serving_s, overlay.fleet.strict_isolated_serving_s);
    override_with(base.fleet.idempotency_window_s, overlay.fleet.idempotency_window_s);
    merge_entries(base.zones, overlay.zones);
    merge_entries(base.accounts, overlay.accounts);
    merge_entries(base.services, overlay.services);
    merge_entries(base.routes, overlay.routes);
}

void require(bool present, const partial_entry& entry, std::string_view key,
             std::vector<file_error>& errors) {
    if (!present) {
        errors.push_back({entry.file, entry.line, std::string(key), "needed for " + entry.name});
    }
}

fleet_settings complete_fleet(const partial_fleet& partial) {
    fleet_settings fleet;
    if (partial.isolated_serving_s) {
        fleet.isolated_serving = std::chrono::seconds(*partial.isolated_serving_s);
    }
    if (partial.strict_isolated_serving_s) {
        fleet.strict_isolated_serving = std::chrono::seconds(*partial.strict_isolated_serving_s);
    }
    if (partial.idempotency_window_s) {
        fleet.idempotency_window = std::chrono::seconds(*partial.idempotency_window_s);
    }
    return fleet;
}

account_settings complete_account(const partial_entry& entry, std::vector<file_error>& errors) {
    require(entry.rate.has_value(), entry, "account.rate", errors);
    require(entry.burst.has_value(), entry, "account.burst", errors);
    account_settings account;
    account.name = entry.name;
    account.rate = entry.rate.value_or(0);
    account.burst = entry.burst.value_or(0);
    account.keys = entry.keys.value_or(std::vector<std::string>{});
    account.strict = entry.strict.value_or(false);
    return account;
}

service_settings complete_service(const partial_entry& entry) {
    service_settings service;
    service.name = entry.name;
    service.retries = static_cast<std::uint32_t>(entry.retries.value_or(service.retries));
    service.retry_budget = entry.retry_budget.value_or(service.retry_budget);
    return service;
}

route_settings complete_route(const partial_entry& entry, std::vector<file_error>& errors) {
    require(entry.service.has_value(), entry, "route.service", errors);
    route_settings route;
    route.prefix = entry.name;
    route.service = entry.service.value_or("");
    route.idempotent = entry.idempotent.value_or(route.idempotent);
    route.priority = static_cast<std::uint32_t>(entry.priority.value_or(route.priority));
    route.timeout = std::chrono::milliseconds(entry.timeout_ms.value_or(route.timeout.count()));
    const auto default_limit = std::max(route.timeout, route.timeout_limit);
    route.timeout_limit = std::chrono::milliseconds(entry.timeout_limit_ms.value_or(default_limit.count()));
    route.latency_objective =
        std::chrono::milliseconds(entry.latency_objective_ms.value_or(route.timeout.count()));
    if (route.latency_objective > route.timeout) {
        errors.push_back({entry.file, entry.line, "route.latency_objective_ms",
                          "at most timeout_ms, " + std::to_string(route.timeout.count())});
    }
    route.open = entry.open.value_or(false);
    route.accounts = entry.accounts.value_or(std::vector<std::string>{});
    if (route.timeout > route.timeout_limit) {
        errors.push_back({entry.file, entry.line, "route.timeout_ms",
                          "at most timeout_limit_ms, " + std::to_string(route.timeout_limit.count())});
    }
    return route;
}

// Checks across entries: references, and keys that two accounts share.
void check_references(const configuration& config, const partial_configuration& partial,
                      std::vector<file_error>& errors) {
    for (std::size_t index = 0; index < config.routes.size(); ++index) {
        const auto& route = config.routes[index];
        const auto& entry = partial.routes[index];
        if (!route.service.empty() && find_service(config, route.service) == nullptr) {
            errors.push_back(
                {entry.file, entry.line, "route.service", "the name of a [[service]], not " + route.service});
        }
        for (const auto& account : route.accounts) {
            if (find_account(config, account) == nullptr) {
                errors.push_back({entry.file, entry.line, "route.accounts",
                                  "names of [[account]] entries, not " + account});
            }
        }
    }
    std::map<std::string, std::string> owners;
    for (std::size_t index = 0; index < config.accounts.size(); ++index) {
        for (const auto& key : config.accounts[index].keys) {
            const auto [found, inserted] = owners.emplace(key, config.accounts[index].name);
            if (!inserted) {
                errors.push_back({partial.accounts[index].file, partial.accounts[index].line, "account.keys",
                                  "a key that " + found->second + " does not use"});
            }
        }
    }
}

configuration complete(const partial_configuration& partial, std::vector<file_error>& errors) {
    configuration config;
    config.fleet = complete_fleet(partial.fleet);
    for (const auto& entry : partial.zones) {
        require(entry.hosts.has_value(), entry, "zone.hosts", errors);
        config.zones.push_back({entry.name, static_cast<std::uint32_t>(entry.hosts.value_or(1))});
    }
    for (const auto& entry : partial.accounts) {
        config.accounts.push_back(complete_account(entry, errors));
    }
    for (const auto& entry : partial.services) {
        config.services.push_back(complete_service(entry));
    }
    for (const auto& entry : partial.routes) {
        config.routes.push_back(complete_route(entry, errors));
        config.longest_prefix_bytes = std::max(config.longest_prefix_bytes, entry.name.size());
    }
    check_references(config, partial, errors);
    return config;
}

template <typename Entry>
void sort_by_name(std::vector<Entry>& entries) {
    std::sort(entries.begin(), entries.end(),
              [](const Entry& left, const Entry& right) { return left.name < right.name; });
}

void sort_entries(partial_configuration& partial) {
    sort_by_name(partial.accounts);
    sort_by_name(partial.services);
    sort_by_name(partial.routes);
}

toml::array to_array(const std::vector<std::string>& texts) {
    toml::array array;
    for (const auto& text : texts) {
        array.push_back(text);
    }
    return array;
}

toml::table render_account(const account_settings& account) {
    return toml::table{{"name", account.name},
                       {"rate", account.rate},
                       {"burst", account.burst},
                       {"keys", to_array(account.keys)},
                       {"strict", account.strict}};
}

toml::table render_route(const route_settings& route) {
    toml::table table{{"prefix", route.prefix},
                      {"service", route.service},
                      {"idempotent", route.idempotent},
                      {"priority", static_cast<std::int64_t>(route.priority)},
                      {"timeout_ms", static_cast<std::int64_t>(route.timeout.count())},
                      {"timeout_limit_ms", static_cast<std::int64_t>(route.timeout_limit.count())},
                      {"open", route.open},
                      {"accounts", to_array(route.accounts)}};
    // Hosts of earlier versions refuse the key.
    if (route.latency_objective != route.timeout) {
        table.insert("latency_objective_ms", static_cast<std::int64_t>(route.latency_objective.count()));
    }
    return table;
}

template <typename Entries, typename Render>
void render_list(toml::table& root, std::string_view kind, const Entries& entries, const Render& render) {
    toml::array array;
    for (const auto& entry : entries) {
        array.push_back(render(entry));
    }
    if (!array.empty()) {
        root.insert(kind, std::move(array));
    }
}

} // namespace

configuration_outcome read_configuration(const configuration_file& base,
                                         const std::optional<configuration_file>& overlay) {
    configuration_outcome outcome;
    partial_configuration partial = read_file(base, outcome.errors);
    if (overlay) {
        merge(partial, read_file(*overlay, outcome.errors));
    }
    if (!outcome.errors.empty()) {
        return outcome;
    }
    sort_entries(partial);
    configuration config = complete(partial, outcome.errors);
    if (outcome.errors.empty()) {
        outcome.value = std::move(config);
    }
    return outcome;
}

std::string render_configuration(const configuration& config) {
    toml::table root;
    root.insert(
        "fleet",
        toml::table{{"isolated_serving_s", std::int64_t{config.fleet.isolated_serving.count()}},
                    {"strict_isolated_serving_s", std::int64_t{config.fleet.strict_isolated_serving.count()}},
                    {"idempotency_window_s", std::int64_t{config.fleet.idempotency_window.count()}}});
    render_list(root, "zone", config.zones, [](const zone_settings& zone) {
        return toml::table{{"name", zone.name}, {"hosts", static_cast<std::int64_t>(zone.hosts)}};
    });
    render_list(root, "account", config.accounts, render_account);
    render_list(root, "service", config.services, [](const service_settings& service) {
        return toml::table{{"name", service.name},
                           {"retries", static_cast<std::int64_t>(service.retries)},
                           {"retry_budget", service.retry_budget}};
    });
    render_list(root, "route", config.routes, render_route);
    std::ostringstream text;
    text << root << "\n";
    return text.str();
}

std::string key_id_of(std::string_view key_hash) {
    return std::string(key_hash.substr(0, key_id_digits));
}

} // namespace dandelionmount
