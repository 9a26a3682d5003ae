// Processor time of single operations, as listed in docs/CAPACITY.md.

#include "dandelionmount/connection/frame_stream.h"
#include "dandelionmount/process/crypto.h"
#include "dandelionmount/process/demand_shares.h"
#include "dandelionmount/process/gossip_service.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/target_limiter.h"
#include "dandelionmount/process/token_share.h"
#include "dandelionmount/request/worker_choice.h"
#include "dandelionmount/version/configuration_state.h"

#include <benchmark/benchmark.h>

namespace {

namespace dm = dandelionmount;
constexpr dm::steady_time start_time{std::chrono::hours(1)};

dm::member_table make_members(std::int64_t hosts, std::int64_t workers) {
    dm::member_table table;
    table.self.set_host("self");
    table.self.set_zone("a");
    for (std::int64_t index = 0; index < hosts; ++index) {
        dm::wire::member_record record;
        record.set_host("host-" + std::to_string(index));
        record.set_incarnation(1700000000000000);
        record.set_counter(1);
        record.set_zone("zone-" + std::to_string(index % 32));
        record.set_slot(static_cast<std::uint32_t>(index / 32));
        record.set_address("10.0.0.1:7000");
        record.set_service(index < workers ? "store" : "service-" + std::to_string(index % 3000));
        record.set_target(dm::wire::target_ready);
        record.set_target_slots(100);
        dm::store_record(table, record);
    }
    return table;
}

void choose_a_worker(benchmark::State& state) {
    const auto members = make_members(state.range(0), 9);
    std::map<std::string, dm::worker_record, std::less<>> records;
    std::mt19937_64 random(1);
    for (auto _ : state) {
        benchmark::DoNotOptimize(
            dm::choose_worker({"store", "zone-1", {}, start_time}, members, records, random));
    }
}
BENCHMARK(choose_a_worker)->Arg(14)->Arg(300)->Arg(27000);

void find_a_slot(benchmark::State& state) {
    const auto members = make_members(state.range(0), 9);
    for (auto _ : state) {
        benchmark::DoNotOptimize(dm::find_slot(members, "zone-5", 7));
    }
}
BENCHMARK(find_a_slot)->Arg(14)->Arg(300)->Arg(27000);

void spend_a_token(benchmark::State& state) {
    dm::token_balance balance;
    for (auto _ : state) {
        dm::add_batch(balance, "keeper", 1, start_time);
        benchmark::DoNotOptimize(dm::spend_token(balance, start_time));
    }
}
BENCHMARK(spend_a_token);

void grant_tokens(benchmark::State& state) {
    dm::rate_share share;
    auto now = start_time;
    dm::set_share_limits(share, 1e6, 1e6, now);
    std::uint64_t id = 0;
    for (auto _ : state) {
        now += std::chrono::milliseconds(1);
        benchmark::DoNotOptimize(dm::grant_tokens(share, {"host", ++id, 1, static_cast<double>(id), 0}, now));
    }
}
BENCHMARK(grant_tokens);

void limit_an_arrival(benchmark::State& state) {
    dm::target_limiter limiter;
    dm::set_ceiling(limiter, 100);
    for (auto _ : state) {
        const auto decision =
            dm::decide_arrival(limiter, {1, 4, "account", start_time, start_time + std::chrono::seconds(1)},
                               start_time + std::chrono::seconds(1), start_time);
        benchmark::DoNotOptimize(decision);
        dm::record_end(limiter, dm::call_end::answered, std::chrono::milliseconds(2), start_time);
    }
}
BENCHMARK(limit_an_arrival);

// Each target does this ten times a second. The argument is the number of accounts; the demand of each
// exceeds its share.
void compute_demand_shares(benchmark::State& state) {
    dm::demand_table table;
    auto now = start_time;
    for (auto _ : state) {
        state.PauseTiming();
        for (std::int64_t account = 0; account < state.range(0); ++account) {
            dm::record_demand(table, 4, std::to_string(account), 10);
        }
        now += std::chrono::milliseconds(100);
        state.ResumeTiming();
        dm::update_shares(table, 10, now);
    }
}
BENCHMARK(compute_demand_shares)->Arg(8)->Arg(1000);

void seal_and_open_a_datagram(benchmark::State& state) {
    dm::wire::gossip_datagram datagram;
    datagram.set_from("host-1");
    for (int index = 0; index < 8; ++index) {
        auto members = make_members(1, 0);
        *datagram.add_members() = members.others.begin()->second;
    }
    for (auto _ : state) {
        const std::string bytes = dm::seal_datagram(datagram, "the secret of the fleet");
        benchmark::DoNotOptimize(dm::open_datagram(bytes, "the secret of the fleet"));
    }
}
BENCHMARK(seal_and_open_a_datagram);

void encode_and_decode_a_request(benchmark::State& state) {
    dm::wire::peer_frame frame;
    frame.mutable_forward_request()->set_id(dm::random_token());
    frame.mutable_forward_request()->set_body(std::string(1024, 'x'));
    for (auto _ : state) {
        const std::string bytes = dm::encode_frame(frame);
        benchmark::DoNotOptimize(dm::decode_frame(std::string_view(bytes).substr(dm::frame_header_bytes)));
    }
}
BENCHMARK(encode_and_decode_a_request);

dm::configuration_state make_state(std::int64_t hosts, std::int64_t services) {
    std::string document = "[[account]]\nname = \"a\"\nrate = 1\nburst = 1\n";
    for (std::int64_t index = 0; index < services; ++index) {
        const std::string name = "service-" + std::to_string(index);
        document.append("[[service]]\nname = \"").append(name).append("\"\n[[route]]\nprefix = \"/");
        document.append(name).append("\"\nservice = \"").append(name).append("\"\n");
    }
    dm::configuration_state state;
    dm::apply_record(state, dm::make_document_record("d", 0, document));
    for (std::int64_t index = 0; index < hosts; ++index) {
        dm::apply_record(state,
                         dm::make_holder_record(
                             "zone-" + std::to_string(index % 32), static_cast<std::uint32_t>(index / 32),
                             {"host-" + std::to_string(index), 1700000000000000, "10.0.0.1:7000"}));
    }
    return state;
}

void apply_a_withdrawal(benchmark::State& state) {
    const auto before = make_state(state.range(0), state.range(0) / 9);
    const std::string record = dm::make_withdraw_record("w", "0123456789abcdef");
    for (auto _ : state) {
        dm::configuration_state next = before;
        benchmark::DoNotOptimize(dm::apply_record(next, record));
    }
    state.counters["snapshot_bytes"] = static_cast<double>(dm::make_snapshot_record(before).size());
}
BENCHMARK(apply_a_withdrawal)->Arg(14)->Arg(300)->Arg(27000);

void find_a_route(benchmark::State& state) {
    const auto configuration = make_state(0, state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(dm::find_route(configuration.document, "/service-7/item/1"));
    }
}
BENCHMARK(find_a_route)->Arg(4)->Arg(300)->Arg(3000);

void hash_a_key(benchmark::State& state) {
    const std::string key = dm::random_token();
    for (auto _ : state) {
        benchmark::DoNotOptimize(dm::sha256_hex(key));
    }
}
BENCHMARK(hash_a_key);

} // namespace

BENCHMARK_MAIN();
