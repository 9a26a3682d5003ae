#include "dandelionmount/version/configuration_state.h"

#include "tests/support/seed.h"

#include <doctest/doctest.h>
#include <random>

namespace dm = dandelionmount;

namespace {

std::string document(double rate) {
    return "[[account]]\nname = \"kiosk\"\nrate = " + std::to_string(rate) + "\nburst = 1\n";
}

const std::string key_hash(64, 'c');

} // namespace

TEST_SUITE_BEGIN("version");

TEST_CASE("Of two changes based on the same version exactly one is accepted") {
    dm::configuration_state state;
    CHECK(dm::apply_record(state, dm::make_document_record("one", 0, document(1))) ==
          dm::change_outcome::accepted);
    CHECK(dm::apply_record(state, dm::make_document_record("two", 0, document(2))) ==
          dm::change_outcome::conflict);
    CHECK(state.document.accounts.front().rate == 1);
    CHECK(dm::find_change(state, "two")->outcome == dm::change_outcome::conflict);
}

TEST_CASE("A change that is appended twice is applied once") {
    dm::configuration_state state;
    const auto record = dm::make_document_record("one", 0, document(1));
    dm::apply_record(state, record);
    const auto version = state.version;
    CHECK(dm::apply_record(state, record) == dm::change_outcome::repeated);
    CHECK(state.version == version);
    CHECK(dm::find_change(state, "one")->outcome == dm::change_outcome::accepted);
}

TEST_CASE("An invalid document changes nothing") {
    dm::configuration_state state;
    dm::apply_record(state, dm::make_document_record("one", 0, document(1)));
    CHECK(dm::apply_record(state, dm::make_document_record("two", state.document_version, "[[account]]\n")) ==
          dm::change_outcome::invalid);
    CHECK(state.document.accounts.size() == 1);
}

TEST_CASE("A withdrawn key is never given again") {
    dm::configuration_state state;
    dm::apply_record(state, dm::make_document_record("one", 0, document(1)));
    CHECK(dm::apply_record(state, dm::make_give_record("g", "kiosk", key_hash)) ==
          dm::change_outcome::accepted);
    dm::apply_record(state, dm::make_withdraw_record("w", dm::key_id_of(key_hash)));
    CHECK(dm::apply_record(state, dm::make_give_record("h", "kiosk", key_hash)) ==
          dm::change_outcome::conflict);
    CHECK(state.withdrawn.contains(dm::key_id_of(key_hash)));
}

TEST_CASE("Applying a document keeps given and withdrawn keys") {
    dm::configuration_state state;
    dm::apply_record(state, dm::make_document_record("one", 0, document(1)));
    dm::apply_record(state, dm::make_give_record("g", "kiosk", key_hash));
    dm::apply_record(state, dm::make_withdraw_record("w", "other"));
    dm::apply_record(state, dm::make_document_record("two", state.document_version, document(5)));
    CHECK(state.given_keys.size() == 1);
    CHECK(state.withdrawn.size() == 1);
    CHECK(state.document.accounts.front().rate == 5);
}

TEST_CASE("Unknown records are skipped") {
    dm::configuration_state state;
    for (const char* record :
         {"", "{", "[]", "7", "{\"kind\":7}", "{\"kind\":\"new thing\"}",
          "{\"kind\":\"document\",\"from_version\":-1}", "{\"kind\":\"give\",\"account\":[]}"}) {
        dm::apply_record(state, record);
    }
    CHECK(state.next_offset == 8);
    CHECK(state.version == 0);
}

TEST_CASE("Reading from a snapshot leads to the same state as reading all records") {
    const auto range = tests::seeds(200);
    for (std::uint64_t seed = range.first; seed < range.first + range.count; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        dm::configuration_state full;
        dm::configuration_state from_snapshot;
        std::uint64_t last_version = 0;
        for (int step = 0; step < 60; ++step) {
            const std::string id = std::to_string(random() % 40);
            std::string record;
            switch (random() % 5) {
            case 0:
                record = dm::make_document_record("d" + id,
                                                  random() % 2 == 0 ? full.document_version : random() % 9,
                                                  document(1 + static_cast<double>(random() % 100)));
                break;
            case 1:
                record = dm::make_give_record("g" + id, "kiosk",
                                              std::string(62, 'a') + "0" + std::to_string(random() % 9));
                break;
            case 2:
                record = dm::make_withdraw_record("w" + id, id);
                break;
            case 3:
                record = dm::make_holder_record("a", static_cast<std::uint32_t>(random() % 3),
                                                {"h" + id, 1 + random() % 50, "127.0.0.1:1"});
                break;
            default:
                record = dm::make_snapshot_record(full);
            }
            if (random() % 20 == 0) {
                auto parsed = dm::read_snapshot(dm::make_snapshot_record(full));
                REQUIRE(parsed);
                from_snapshot = std::move(parsed.value());
            }
            const bool same_offset = from_snapshot.next_offset == full.next_offset;
            dm::apply_record(full, record);
            if (same_offset) {
                dm::apply_record(from_snapshot, record);
                CHECK(dm::state_fingerprint(from_snapshot) == dm::state_fingerprint(full));
            }
            CHECK(full.version >= last_version);
            last_version = full.version;
        }
    }
}

TEST_CASE("A damaged snapshot does not crash the reader") {
    dm::configuration_state state;
    dm::apply_record(state, dm::make_document_record("one", 0, document(1)));
    const std::string record = dm::make_snapshot_record(state);
    std::mt19937_64 random(1);
    for (int run = 0; run < 2000; ++run) {
        std::string damaged = record;
        damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
        damaged.resize(damaged.size() - random() % 3);
        // Damaged text may still parse, but must not crash the reader.
        const auto read = dm::read_snapshot(damaged);
        CHECK((read.has_value() || !read.error().message.empty()));
    }
}

TEST_SUITE_END();
