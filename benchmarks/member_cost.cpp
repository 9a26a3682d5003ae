// Cost of the membership protocol for one host as the fleet grows: messages, bytes and CPU time per second,
// and memory for each host in the member table.

#include "tests/support/member_fleet.h"

#include <cstdio>
#include <ctime>
#include <fstream>
#include <string>

namespace {

// Resident memory of this process in bytes.
double resident_bytes() {
    std::ifstream file("/proc/self/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    constexpr double page_bytes = 4096;
    return static_cast<double>(resident) * page_bytes;
}

// Average memory of a record, in a table of the largest fleet that the design is for.
double bytes_per_record() {
    constexpr std::size_t hosts = 27000;
    const double before = resident_bytes();
    dandelionmount::member_table table;
    for (std::size_t index = 0; index < hosts; ++index) {
        dandelionmount::wire::member_record record;
        record.set_host("region-1-zone-" + std::to_string(index % 32) + "-" + std::to_string(index));
        record.set_incarnation(1700000000000000);
        record.set_zone("region-1-zone-" + std::to_string(index % 32));
        record.set_slot(static_cast<std::uint32_t>(index / 32));
        record.set_address("10.100.100.100:7000");
        record.set_service("service-number-" + std::to_string(index % 3000));
        dandelionmount::store_record(table, record);
    }
    return (resident_bytes() - before) / hosts;
}

} // namespace

int main() {
    std::printf("memory of one record: %.0f bytes\n", bytes_per_record());
    constexpr int rounds = 100;
    std::printf("%8s %14s %14s %20s\n", "hosts", "messages/s", "bytes/s", "processor us/s");
    for (const std::size_t hosts : {16UL, 64UL, 256UL, 1024UL}) {
        tests::member_fleet fleet(hosts, 0.0, 1);
        const std::clock_t started_at = std::clock();
        for (int round = 0; round < rounds; ++round) {
            fleet.run_round();
        }
        const double cpu_seconds = static_cast<double>(std::clock() - started_at) / CLOCKS_PER_SEC;
        const double host_seconds = static_cast<double>(hosts) * fleet.seconds();
        std::printf("%8zu %14.2f %14.1f %20.1f\n", hosts,
                    static_cast<double>(fleet.messages()) / host_seconds,
                    static_cast<double>(fleet.bytes()) / host_seconds, cpu_seconds * 1e6 / host_seconds);
    }
    return 0;
}
