#include "dandelionmount/process/configuration_store.h"

#include <doctest/doctest.h>

namespace dm = dandelionmount;

namespace {

const std::string key_hash(64, 'd');

std::string document(const std::string& more) {
    return "[[account]]\nname = \"kiosk\"\nrate = 1\nburst = 1\nkeys = [\"" + key_hash + "\"]\n" + more;
}

} // namespace

TEST_SUITE_BEGIN("process");

TEST_CASE("The version of a process's configuration never decreases") {
    const dm::manual_time_source time;
    dm::configuration_store store({}, time);
    dm::configuration_state earlier;
    dm::apply_record(earlier, dm::make_document_record("one", 0, document("")));
    dm::configuration_state later_state = earlier;
    dm::apply_record(later_state, dm::make_withdraw_record("w", "x"));
    store.adopt(later_state);
    store.adopt(earlier);
    CHECK(store.state().version == later_state.version);
    CHECK(store.is_withdrawn("x"));
}

TEST_CASE("Overlapping records are applied once, and records after a gap are rejected") {
    const dm::manual_time_source time;
    dm::configuration_store store({}, time);
    const std::vector<std::string> records = {dm::make_document_record("one", 0, document("")),
                                              dm::make_withdraw_record("w", "x")};
    CHECK(store.apply_records(0, records));
    CHECK(store.apply_records(0, records));
    CHECK(store.state().next_offset == 2);
    CHECK_FALSE(store.apply_records(3, records));
    CHECK(store.records_from(1)->size() == 1);
    CHECK_FALSE(store.records_from(7));
}

TEST_CASE("A withdrawal takes effect at once, and stays in effect when the log holds it") {
    const dm::manual_time_source time;
    dm::configuration_store store({}, time);
    const std::vector<std::string> records = {dm::make_document_record("one", 0, document(""))};
    store.apply_records(0, records);
    const auto owner = store.find_key(key_hash);
    REQUIRE(owner);
    CHECK(store.withdraw(owner->key_id));
    CHECK_FALSE(store.withdraw(owner->key_id));
    CHECK(store.is_withdrawn(owner->key_id));
    const std::vector<std::string> withdrawal = {dm::make_withdraw_record("w", owner->key_id)};
    store.apply_records(1, withdrawal);
    CHECK(store.pending_withdrawals().empty());
    CHECK(store.is_withdrawn(owner->key_id));
}

TEST_CASE("An isolated zone keeps serving for a limited time, and a strict account for less") {
    dm::manual_time_source time;
    dm::configuration_store store({}, time);
    const std::string zones = "[[zone]]\nname = \"a\"\nhosts = 1\n[[zone]]\nname = \"b\"\nhosts = 1\n"
                              "[fleet]\nisolated_serving_s = 100\nstrict_isolated_serving_s = 3\n";
    const std::vector<std::string> records = {dm::make_document_record("one", 0, document(zones))};
    store.apply_records(0, records);
    store.record_contact();
    dm::account_settings default_account;
    dm::account_settings strict;
    strict.strict = true;
    time.advance(std::chrono::seconds(4));
    CHECK_FALSE(store.is_isolated(&default_account));
    CHECK(store.is_isolated(&strict));
    time.advance(std::chrono::seconds(100));
    CHECK(store.is_isolated(&default_account));
    store.record_contact();
    CHECK_FALSE(store.is_isolated(&strict));
}

TEST_CASE("Keys are valid only while the configuration is fresh, counting suspensions") {
    dm::manual_time_source time;
    dm::configuration_store store({}, time);
    CHECK(store.is_fresh());
    store.require_freshness({std::chrono::milliseconds(4500)});
    CHECK_FALSE(store.is_fresh());
    store.record_freshness(time.now_with_suspension());
    time.advance(std::chrono::seconds(4));
    CHECK(store.is_fresh());
    // An answer to an older request does not reduce the age.
    store.record_freshness(time.now_with_suspension() - std::chrono::seconds(3));
    CHECK(store.age() == std::chrono::seconds(3));
    time.suspend(std::chrono::seconds(2));
    CHECK_FALSE(store.is_fresh());
}

TEST_CASE("A document of an earlier version never replaces a later one") {
    dm::manual_time_source time;
    dm::configuration_store store({}, time);
    dm::configuration later;
    later.accounts.push_back({"a", 1, 1, {std::string(64, 'k')}});
    CHECK(store.adopt_document(9, later));
    CHECK_FALSE(store.adopt_document(7, {}));
    CHECK_FALSE(store.adopt_document(9, {}));
    CHECK(store.state().document_version == 9);
    const std::string id = dm::key_id_of(std::string(64, 'k'));
    CHECK_FALSE(store.is_key_invalidated(id, 9));
    CHECK(store.adopt_document(12, {}));
    CHECK(store.is_key_invalidated(id, 9));
    // A process with an older version than the one that admitted the key can't tell, and leaves it valid.
    CHECK_FALSE(store.is_key_invalidated("not known here", 15));
}

TEST_SUITE_END();
