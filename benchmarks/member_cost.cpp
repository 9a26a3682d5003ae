// Cost of the membership for one host as the fleet grows: messages, bytes and processor time each second.

#include "tests/support/member_fleet.h"

#include <cstdio>
#include <ctime>

int main() {
    constexpr int rounds = 100;
    std::printf("%8s %14s %14s %20s\n", "hosts", "messages/s", "bytes/s", "processor us/s");
    for (const std::size_t hosts : {16UL, 64UL, 256UL, 1024UL}) {
        tests::member_fleet fleet(hosts, 0.0, 1);
        const std::clock_t began = std::clock();
        for (int round = 0; round < rounds; ++round) {
            fleet.run_round();
        }
        const double used = static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC;
        const double each = static_cast<double>(hosts) * fleet.seconds();
        std::printf("%8zu %14.2f %14.1f %20.1f\n", hosts, static_cast<double>(fleet.messages()) / each,
                    static_cast<double>(fleet.bytes()) / each, used * 1e6 / each);
    }
    return 0;
}
