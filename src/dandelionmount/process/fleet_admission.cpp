#include "dandelionmount/process/fleet_admission.h"

namespace dandelionmount {

void fleet_admission::write_report(wire::rate_report& report) {
    auto* written = report.mutable_ingress();
    const ingress_report seen = take_report(own_);
    for (const auto& [key, arrived] : seen.arrivals) {
        auto* arrivals = written->add_arrivals();
        arrivals->set_priority(key.first);
        arrivals->set_route(key.second);
        arrivals->set_count(static_cast<float>(arrived));
    }
    for (const auto& [route, ratios] : seen.ratios) {
        auto* received = written->add_ratios();
        received->set_route(route);
        received->set_above(static_cast<float>(ratios.above));
        received->set_sum_above(static_cast<float>(ratios.sum_above));
        received->set_answers(static_cast<float>(ratios.answers));
    }
}

void fleet_admission::decide(const wire::rate_report& report, wire::rate_grants& grants) {
    if (!report.has_ingress()) {
        return;
    }
    ingress_report received;
    for (const auto& arrivals : report.ingress().arrivals()) {
        received.arrivals[{arrivals.priority(), arrivals.route()}] += arrivals.count();
    }
    for (const auto& ratios : report.ingress().ratios()) {
        received.ratios[ratios.route()] = {ratios.above(), ratios.sum_above(), ratios.answers()};
    }
    add_report(fleet_, received, time_.now());
    grants.set_decides_admission(true);
    for (const auto& [key, share] : shares_below_one(fleet_)) {
        auto* decided = grants.add_shares();
        decided->set_priority(key.first);
        decided->set_route(key.second);
        decided->set_share(static_cast<float>(share));
    }
}

void fleet_admission::read_shares(const wire::rate_grants& grants, steady_time requested_at) {
    if (!grants.decides_admission()) {
        return;
    }
    std::map<priority_route, double> shares;
    for (const auto& decided : grants.shares()) {
        shares[{decided.priority(), decided.route()}] = decided.share();
    }
    apply_fleet_shares(own_, std::move(shares), requested_at);
}

} // namespace dandelionmount
