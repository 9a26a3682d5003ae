#include "dandelionctl/commands.h"

#include "dandelionctl/node_client.h"
#include "dandelionmount/process/crypto.h"
#include "dandelionmount/version/configuration.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <json/json.h>
#include <map>
#include <optional>
#include <sstream>
#include <thread>

namespace dandelionctl {

namespace {

using word_list = std::vector<std::string>;
using std::chrono::steady_clock;

constexpr auto poll_interval = std::chrono::milliseconds(50);

// One run of a command. Its words are the command's name, of one or two words, followed by the arguments.
class command {
public:
    command(const word_list& words, const command_options& options)
        : words_(words), options_(options), client_(options.node) {}

    exit_code apply();
    exit_code check();
    exit_code diff();
    exit_code show();
    exit_code status();
    exit_code accounts();
    exit_code give_key();
    exit_code withdraw_key();
    exit_code list_keys();
    exit_code drain(bool on);
    exit_code counters();

private:
    Json::Value call(const std::string& method,
                     const Json::Value& parameters = Json::Value(Json::objectValue));
    void print(const Json::Value& value, const std::string& text) const;
    std::optional<dandelionmount::configuration> read_files();
    exit_code wait_for_change(const std::string& change_id);
    exit_code wait_in_force(Json::Value response, const std::string& change_id);

    const word_list& words_;
    const command_options& options_;
    node_client client_;
    std::vector<dandelionmount::configuration_file> files_;
};

// Exception that aborts a command; run_command turns it into an exit code.
struct node_unreachable {
    std::string cause;
};

std::string to_json_text(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

word_list split_lines(const std::string& text) {
    word_list lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

// Line diff: lines only in the first text are marked -, lines only in the second +. Uses the longest common
// subsequence (LCS) by dynamic programming: Cormen et al., "Introduction to Algorithms", chapter 15.
std::string line_difference(const word_list& before, const word_list& after) {
    std::vector<std::vector<int>> lcs_length(before.size() + 1, std::vector<int>(after.size() + 1, 0));
    for (std::size_t left = before.size(); left-- > 0;) {
        for (std::size_t right = after.size(); right-- > 0;) {
            lcs_length[left][right] = before[left] == after[right] ? lcs_length[left + 1][right + 1] + 1
                                                                   : std::max(lcs_length[left + 1][right],
                                                                              lcs_length[left][right + 1]);
        }
    }
    std::string text;
    std::size_t left = 0;
    std::size_t right = 0;
    while (left < before.size() || right < after.size()) {
        if (left < before.size() && right < after.size() && before[left] == after[right]) {
            ++left;
            ++right;
        } else if (right == after.size() ||
                   (left < before.size() && lcs_length[left + 1][right] >= lcs_length[left][right + 1])) {
            text += "-" + before[left++] + "\n";
        } else {
            text += "+" + after[right++] + "\n";
        }
    }
    return text;
}

Json::Value command::call(const std::string& method, const Json::Value& parameters) {
    auto response = client_.call(method, parameters);
    if (!response) {
        throw node_unreachable{client_.error()};
    }
    return std::move(*response);
}

void command::print(const Json::Value& value, const std::string& text) const {
    std::cout << (options_.json ? to_json_text(value) + "\n" : text);
}

// Reads and validates the files named on the command line; prints their errors.
std::optional<dandelionmount::configuration> command::read_files() {
    for (std::size_t index = 1; index < words_.size(); ++index) {
        const auto text = read_file(words_[index]);
        if (!text) {
            std::cerr << words_[index] << ": can't be read\n";
            return std::nullopt;
        }
        files_.push_back({words_[index], *text});
    }
    std::optional<dandelionmount::configuration_file> overlay;
    if (files_.size() > 1) {
        overlay = files_[1];
    }
    auto outcome = dandelionmount::read_configuration(files_[0], overlay);
    if (!outcome.value) {
        std::cerr << dandelionmount::to_text(outcome.errors);
    }
    return std::move(outcome.value);
}

exit_code command::check() {
    if (!read_files()) {
        return exit_code::refused;
    }
    Json::Value value;
    value["valid"] = true;
    print(value, "valid\n");
    return exit_code::done;
}

exit_code command::apply() {
    if (!read_files()) {
        return exit_code::refused;
    }
    Json::Value parameters;
    parameters["base"] = files_[0].text;
    parameters["base_name"] = files_[0].name;
    parameters["overlay"] = files_.size() > 1 ? files_[1].text : "";
    parameters["overlay_name"] = files_.size() > 1 ? files_[1].name : "";
    parameters["change_id"] = dandelionmount::random_token();
    const auto in_force = call("show")["document_version"].asInt64();
    parameters["from_version"] =
        static_cast<Json::Int64>(options_.from_version >= 0 ? options_.from_version : in_force);
    const Json::Value response = call("apply", parameters);
    if (!response["errors"].empty()) {
        std::cerr << to_json_text(response["errors"]) << "\n";
        return exit_code::refused;
    }
    return wait_for_change(response["change_id"].asString());
}

exit_code command::wait_for_change(const std::string& change_id) {
    Json::Value parameters;
    parameters["change_id"] = change_id;
    const auto deadline = steady_clock::now() + std::chrono::milliseconds(options_.wait_ms);
    while (steady_clock::now() < deadline) {
        const Json::Value response = call("change", parameters);
        const std::string outcome = response["outcome"].asString();
        if (outcome == "accepted" || outcome == "repeated") {
            return wait_in_force(response, change_id);
        }
        if (outcome == "conflict") {
            print(response, "conflict: the document is already at version " +
                                response["document_version"].asString() + "\n");
            return exit_code::conflict;
        }
        if (outcome == "invalid") {
            print(response, "refused: not a valid change\n");
            return exit_code::refused;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    Json::Value value;
    value["outcome"] = "undecided";
    value["change_id"] = change_id;
    print(value,
          "undecided: the log has not recorded change " + change_id + " yet; the node keeps retrying\n");
    return exit_code::undecided;
}

exit_code command::wait_in_force(Json::Value response, const std::string& change_id) {
    Json::Value parameters;
    parameters["change_id"] = change_id;
    const auto deadline = steady_clock::now() + std::chrono::milliseconds(options_.wait_ms);
    while (!response["not_confirmed"].empty() && steady_clock::now() < deadline) {
        std::this_thread::sleep_for(poll_interval);
        response = call("change", parameters);
    }
    std::string text = "accepted, version " + response["version"].asString() + "\n";
    for (const auto& host : response["not_confirmed"]) {
        text += "not confirmed by " + host.asString() + "\n";
    }
    print(response, text);
    return exit_code::done;
}

exit_code command::show() {
    const Json::Value response = call("show");
    print(response,
          "# version " + response["document_version"].asString() + "\n" + response["document"].asString());
    return exit_code::done;
}

exit_code command::diff() {
    const auto config = read_files();
    if (!config) {
        return exit_code::refused;
    }
    const std::string before = call("show")["document"].asString();
    const std::string text =
        line_difference(split_lines(before), split_lines(dandelionmount::render_configuration(*config)));
    Json::Value value;
    value["difference"] = text;
    print(value, text);
    return exit_code::done;
}

exit_code command::status() {
    const Json::Value value = call("status");
    std::ostringstream text;
    text << "host " << value["host"].asString() << " zone " << value["zone"].asString() << " version "
         << value["version"].asString() << " holds slot " << value["holds_slot"].asString() << "\n";
    for (const auto& member : value["members"]) {
        text << "  " << member["zone"].asString() << "/" << member["slot"].asString() << " "
             << member["host"].asString() << " " << member["state"].asString() << " "
             << member["service"].asString() << " " << member["target"].asString() << "\n";
    }
    print(value, text.str());
    return exit_code::done;
}

exit_code command::accounts() {
    const Json::Value response = call("show");
    const auto read =
        dandelionmount::read_configuration({"shown", response["document"].asString()}, std::nullopt);
    Json::Value values(Json::arrayValue);
    std::string text;
    if (read.value) {
        for (const auto& account : read.value->accounts) {
            Json::Value value;
            value["name"] = account.name;
            value["rate"] = account.rate;
            value["burst"] = account.burst;
            values.append(value);
            std::ostringstream line;
            line << account.name << " rate " << account.rate << " burst " << account.burst << "\n";
            text += line.str();
        }
    }
    print(values, text);
    return exit_code::done;
}

exit_code command::give_key() {
    const std::string key = dandelionmount::random_token() + dandelionmount::random_token();
    Json::Value parameters;
    parameters["account"] = words_[2];
    parameters["key_hash"] = dandelionmount::sha256_hex(key);
    parameters["change_id"] = dandelionmount::random_token();
    const Json::Value response = call("give_key", parameters);
    if (response.isMember("error")) {
        std::cerr << response["error"].asString() << "\n";
        return exit_code::refused;
    }
    const exit_code change_result = wait_for_change(response["change_id"].asString());
    if (change_result == exit_code::done) {
        // The key can't be shown again: only its hash is stored.
        Json::Value value;
        value["account"] = words_[2];
        value["key_id"] = response["key_id"];
        value["key"] = key;
        print(value, "key " + key + "\nkey id " + response["key_id"].asString() + "\n");
    }
    return change_result;
}

exit_code command::withdraw_key() {
    Json::Value parameters;
    parameters["key_id"] = words_[2];
    const Json::Value response = call("withdraw_key", parameters);
    if (response.isMember("error")) {
        std::cerr << response["error"].asString() << "\n";
        return exit_code::refused;
    }
    const auto deadline = steady_clock::now() + std::chrono::milliseconds(options_.wait_ms);
    Json::Value state;
    std::string missing;
    do {
        state = call("withdrawal", parameters);
        missing.clear();
        for (const auto& zone : state["zones"].getMemberNames()) {
            const auto& counts = state["zones"][zone];
            if (counts["confirmed"].asInt() < counts["hosts"].asInt()) {
                missing += "not confirmed by zone " + zone + ": " + counts["confirmed"].asString() + " of " +
                           counts["hosts"].asString() + " hosts\n";
            }
        }
        if (!missing.empty()) {
            std::this_thread::sleep_for(poll_interval);
        }
    } while (!missing.empty() && steady_clock::now() < deadline);
    state["key_id"] = words_[2];
    print(state, "withdrawn " + words_[2] + "\n" + missing);
    return missing.empty() ? exit_code::done : exit_code::undecided;
}

exit_code command::list_keys() {
    const Json::Value response = call("list_keys");
    std::string text;
    for (const auto& key : response["keys"]) {
        text += key["account"].asString() + " " + key["key_id"].asString() + " " + key["source"].asString() +
                (key["withdrawn"].asBool() ? " withdrawn\n" : "\n");
    }
    print(response, text);
    return exit_code::done;
}

exit_code command::drain(bool on) {
    Json::Value parameters;
    parameters["on"] = on;
    const Json::Value response = call("drain", parameters);
    print(response, on ? "draining\n" : "accepting work again\n");
    return exit_code::done;
}

exit_code command::counters() {
    const auto fetched = client_.get("/metrics");
    if (!fetched) {
        throw node_unreachable{client_.error()};
    }
    const std::string& text = *fetched;
    Json::Value values(Json::objectValue);
    for (const auto& line : split_lines(text)) {
        const auto space = line.rfind(' ');
        if (!line.empty() && line[0] != '#' && space != std::string::npos) {
            values[line.substr(0, space)] = std::stod(line.substr(space + 1));
        }
    }
    print(values, text);
    return exit_code::done;
}

struct command_entry {
    // One or two words.
    std::string name;
    std::size_t min_arguments;
    std::size_t max_arguments;
    std::function<exit_code(command&)> run;
};

const std::vector<command_entry>& command_table() {
    static const std::vector<command_entry> table = {
        {"apply", 1, 2, [](command& cmd) { return cmd.apply(); }},
        {"check", 1, 2, [](command& cmd) { return cmd.check(); }},
        {"diff", 1, 2, [](command& cmd) { return cmd.diff(); }},
        {"show", 0, 0, [](command& cmd) { return cmd.show(); }},
        {"status", 0, 0, [](command& cmd) { return cmd.status(); }},
        {"account list", 0, 0, [](command& cmd) { return cmd.accounts(); }},
        {"key give", 1, 1, [](command& cmd) { return cmd.give_key(); }},
        {"key withdraw", 1, 1, [](command& cmd) { return cmd.withdraw_key(); }},
        {"key list", 0, 0, [](command& cmd) { return cmd.list_keys(); }},
        {"host drain", 0, 0, [](command& cmd) { return cmd.drain(true); }},
        {"host undrain", 0, 0, [](command& cmd) { return cmd.drain(false); }},
        {"counters", 0, 0, [](command& cmd) { return cmd.counters(); }},
    };
    return table;
}

// Sets `name_length` to the number of words of the command's name.
const command_entry* find_command(const word_list& words, std::size_t& name_length) {
    for (const auto& entry : command_table()) {
        const word_list name = [&] {
            word_list parts;
            std::istringstream stream(entry.name);
            for (std::string part; stream >> part;) {
                parts.push_back(part);
            }
            return parts;
        }();
        if (words.size() >= name.size() && std::equal(name.begin(), name.end(), words.begin())) {
            name_length = name.size();
            return &entry;
        }
    }
    return nullptr;
}

} // namespace

std::string usage_text() {
    return "dandelionctl [--node IP:PORT] [--json] [--wait_ms N] COMMAND\n"
           "  apply BASE [OVERLAY]    put a configuration in force\n"
           "  check BASE [OVERLAY]    validate files without a node\n"
           "  diff BASE [OVERLAY]     what apply would change\n"
           "  show                    the configuration in force\n"
           "  status                  the node and the hosts in its member list\n"
           "  account list            client accounts with rate and burst\n"
           "  key give ACCOUNT        create a key; it is shown only once\n"
           "  key withdraw KEY_ID     withdraw a key permanently\n"
           "  key list                key ids by account\n"
           "  host drain|undrain      stop or resume new work for the node's target\n"
           "  counters                the node's counters\n"
           "exit codes: 0 done, 1 refused, 2 usage, 3 conflict, 4 node unreachable, 5 not decided in time\n";
}

exit_code run_command(const std::vector<std::string>& words, const command_options& options) {
    std::size_t name_length = 0;
    const command_entry* entry = find_command(words, name_length);
    const std::size_t argument_count = words.size() - name_length;
    if (entry == nullptr || argument_count < entry->min_arguments || argument_count > entry->max_arguments) {
        std::cerr << usage_text();
        return exit_code::usage;
    }
    try {
        command cmd(words, options);
        return entry->run(cmd);
    } catch (const node_unreachable& error) {
        std::cerr << error.cause << "\n";
        return exit_code::unreachable;
    }
}

} // namespace dandelionctl
