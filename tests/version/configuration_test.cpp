#include "dandelionmount/version/configuration.h"

#include "tests/support/seed.h"

#include <doctest/doctest.h>
#include <random>
#include <set>

namespace dm = dandelionmount;

namespace {

const std::string base_text = R"([[zone]]
name = "a"
hosts = 2
[[account]]
name = "kiosk"
rate = 10
burst = 20
keys = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
[[service]]
name = "store"
retries = 3
[[route]]
prefix = "/store"
service = "store"
idempotent = true
[[route]]
prefix = "/store/confirm"
service = "store"
priority = 9
)";

dm::configuration_outcome read(const std::string& text) {
    return dm::read_configuration({"base.toml", text}, std::nullopt);
}

void check_error(const std::string& text, std::uint32_t line, const std::string& key) {
    const auto outcome = read(text);
    CHECK_FALSE(outcome.value);
    REQUIRE_FALSE(outcome.errors.empty());
    CHECK(outcome.errors.front().file == "base.toml");
    CHECK(outcome.errors.front().line == line);
    CHECK(outcome.errors.front().key == key);
    CHECK_FALSE(outcome.errors.front().allowed.empty());
}

} // namespace

TEST_SUITE_BEGIN("version");

TEST_CASE("A base file is read completely") {
    const auto outcome = read(base_text);
    REQUIRE(outcome.value);
    CHECK(outcome.value->accounts.front().rate == 10);
    CHECK(outcome.value->services.front().retries == 3);
    CHECK(outcome.value->routes.front().idempotent);
}

TEST_CASE("An overlay overrides by name and keeps the rest") {
    const std::string overlay =
        "[[account]]\nname = \"kiosk\"\nrate = 99\n[[account]]\nname = \"new\"\nrate = 1\nburst = 1\n";
    const auto outcome =
        dm::read_configuration({"base.toml", base_text}, dm::configuration_file{"site.toml", overlay});
    REQUIRE(outcome.value);
    CHECK(dm::find_account(*outcome.value, "kiosk")->rate == 99);
    CHECK(dm::find_account(*outcome.value, "kiosk")->burst == 20);
    CHECK(dm::find_account(*outcome.value, "new") != nullptr);
}

TEST_CASE("Errors of an overlay name the overlay") {
    const std::string overlay = "[[account]]\nname = \"kiosk\"\nrate = -1\n";
    const auto outcome =
        dm::read_configuration({"base.toml", base_text}, dm::configuration_file{"site.toml", overlay});
    CHECK_FALSE(outcome.value);
    REQUIRE_FALSE(outcome.errors.empty());
    CHECK(outcome.errors.front().file == "site.toml");
    CHECK(outcome.errors.front().line == 3);
}

TEST_CASE("Each mistake names file, line, key and what is allowed") {
    check_error("[[account]]\nname = \"a\"\nrate = 0\nburst = 1\n", 3, "account.rate");
    check_error("[[account]]\nname = \"a\"\nrate = \"1\"\nburst = 1\n", 3, "account.rate");
    check_error("[[account]]\nname = \"a\"\nrate = nan\nburst = 1\n", 3, "account.rate");
    check_error("[[account]]\nname = \"a\"\nburst = 1\n", 1, "account.rate");
    check_error("[[account]]\nname = \"a\"\nrate = 1\nburst = 1\nspeed = 2\n", 5, "account.speed");
    check_error("[[account]]\nname = \"a\"\nrate = 1\nburst = 1\nkeys = [\"plain\"]\n", 5, "account.keys");
    check_error("[[account]]\nrate = 1\nburst = 1\n", 1, "account.name");
    check_error("[account]\nname = \"a\"\n", 1, "account");
    check_error("[[service]]\nname = \"s\"\n[[service]]\nname = \"s\"\n", 4, "service.name");
    check_error("[[service]]\nname = \"s\"\nretries = 99\n", 3, "service.retries");
    check_error("[[route]]\nprefix = \"store\"\nservice = \"s\"\n", 2, "route.prefix");
    check_error("[[route]]\nprefix = \"/x\"\nservice = \"nobody\"\n", 1, "route.service");
    check_error("[[service]]\nname=\"s\"\n[[route]]\nprefix = \"/x\"\nservice = \"s\"\ntimeout_ms = "
                "20\ntimeout_limit_ms = 10\n",
                3, "route.timeout_ms");
    check_error("colour = 1\n", 1, "colour");
    check_error("[[account]\n", 1, "syntax");
}

TEST_CASE("Two accounts can't share a key") {
    const std::string key(64, 'b');
    const auto outcome =
        read("[[account]]\nname = \"a\"\nrate = 1\nburst = 1\nkeys = [\"" + key +
             "\"]\n[[account]]\nname = \"b\"\nrate = 1\nburst = 1\nkeys = [\"" + key + "\"]\n");
    CHECK_FALSE(outcome.value);
}

TEST_CASE("A rendered configuration reads back as the same configuration") {
    const auto outcome = read(base_text);
    REQUIRE(outcome.value);
    const std::string rendered = dm::render_configuration(*outcome.value);
    const auto again = read(rendered);
    REQUIRE(again.value);
    CHECK(dm::render_configuration(*again.value) == rendered);
}

TEST_CASE("Route lookup agrees with a linear search of all routes") {
    const auto range = tests::seeds(20);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::uniform_int_distribution<int> segments(1, 4);
        std::uniform_int_distribution<int> letter(0, 2);
        const auto make_path = [&] {
            std::string path;
            for (int count = segments(random); count > 0; --count) {
                path += std::string("/") + static_cast<char>('a' + letter(random));
            }
            return letter(random) == 0 ? path + "/" : path;
        };
        std::set<std::string> prefixes;
        std::string text = "[[zone]]\nname = \"a\"\nhosts = 2\n[[service]]\nname = \"s\"\n";
        for (int route = 0; route < 30; ++route) {
            const std::string prefix = make_path();
            if (prefixes.insert(prefix).second) {
                text += "[[route]]\nprefix = \"" + prefix + "\"\nservice = \"s\"\n";
            }
        }
        const auto outcome = read(text);
        REQUIRE(outcome.value);
        for (int tries = 0; tries < 100; ++tries) {
            const std::string path = make_path();
            const std::string* best = nullptr;
            for (const auto& prefix : prefixes) {
                const bool matches =
                    path.starts_with(prefix) &&
                    (path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/');
                if (matches && (best == nullptr || prefix.size() > best->size())) {
                    best = &prefix;
                }
            }
            const auto* found = dm::find_route(*outcome.value, path);
            CHECK((found == nullptr) == (best == nullptr));
            if (found != nullptr && best != nullptr) {
                CHECK(found->prefix == *best);
            }
        }
    }
}

TEST_CASE("The longest prefix of whole segments finds the route") {
    const auto config = *read(base_text).value;
    CHECK(dm::find_route(config, "/store/confirm/7")->priority == 9);
    CHECK(dm::find_route(config, "/store/confirmed")->prefix == "/store");
    CHECK(dm::find_route(config, "/store?x=/store/confirm")->prefix == "/store");
    CHECK(dm::find_route(config, "/stored") == nullptr);
}

TEST_CASE("Damaged files do not crash the reader") {
    const auto range = tests::seeds(3000);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        std::mt19937_64 random(seed);
        std::string text = base_text;
        for (int change = 0; change < 1 + static_cast<int>(random() % 6); ++change) {
            const std::size_t at = random() % text.size();
            switch (random() % 3) {
            case 0:
                text[at] = static_cast<char>(random() % 256);
                break;
            case 1:
                text.erase(at, 1 + random() % 8);
                break;
            default:
                text.insert(at, text.substr(random() % text.size(), random() % 12));
            }
            if (text.empty()) {
                text = "x";
            }
        }
        CAPTURE(seed);
        const auto outcome = read(text);
        // Either the file is valid or errors say why not.
        CHECK(outcome.value.has_value() == outcome.errors.empty());
    }
}

TEST_SUITE_END();
