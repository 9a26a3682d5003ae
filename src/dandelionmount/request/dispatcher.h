#ifndef DANDELIONMOUNT_REQUEST_DISPATCHER_H
#define DANDELIONMOUNT_REQUEST_DISPATCHER_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/peer_directory.h"
#include "dandelionmount/request/priority_shedder.h"
#include "dandelionmount/request/demand_ratio_table.h"
#include "dandelionmount/request/executor.h"
#include "dandelionmount/request/retry_allowance.h"
#include "dandelionmount/request/worker_choice.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace dandelionmount {

/// What a dispatcher needs of its process. All of it outlives the dispatcher.
struct dispatcher_context {
    const time_source& time;
    metrics& counters;
    const configuration_store& configuration;
    const member_table& members;
    peer_directory& peers;
    executor& local;
    std::mt19937_64& random;
    /// Whether retries come out of the request's allowance. Off only in benchmarks: then each hop retries.
    bool uses_allowance{true};
    /// Whether calls of targets are part of the request that they belong to, and share its allowance.
    bool shares_allowance{true};
    /// Retries to each service that one host may save up while none are needed.
    double max_saved_retries{10};
    /// Whether an attempt that a worker's host refused, and so never reached the worker, may go to another
    /// one without using up retries.
    bool redirects_refused_attempts{false};
    /// Load of this host's target and of the services that it calls; nullptr where entrances shed by client
    /// accounts.
    service_pressure* pressure{nullptr};
};

/// One request on its way to a worker.
struct dispatch_order {
    /// Filled but for the attempt number, the time left and the allowance.
    wire::forward_request request;
    /// Prefix of the route, by which the load of the services below is known.
    std::string route;
    /// Whether the request enters the fleet here. Only then is it shed for load below: a call of a target
    /// that is shed again at each hop would be shed far too often, and work has been spent on it already.
    bool at_ingress{false};
    steady_time deadline;
    std::shared_ptr<retry_allowance> allowance;
    std::shared_ptr<cancel_token> cancel;
};

/// Sends a request to a worker, and to another one where that is safe and worth it.
class dispatcher {
public:
    explicit dispatcher(dispatcher_context context);

    /// The final answer: an attempt is repeated only when the one before is proved not to have run, or when
    /// the request is idempotent, and only within the request's allowance and the service's budget.
    boost::asio::awaitable<wire::forward_reply> dispatch(dispatch_order order);
    /// Sets how many retries to each service may be saved up while none are needed.
    void set_max_saved_retries(double most_saved);
    /// Takes in what the comparison of a service's workers found.
    void record_worker_comparison(const std::string& host, const target_health& note);
    /// Takes in whether a worker's host can be reached.
    void record_reachability(const std::string& host, bool reachable) {
        workers_[host].reachable = reachable;
    }

private:
    boost::asio::awaitable<wire::forward_reply> attempt(const dispatch_order& order, std::string host);
    [[nodiscard]] reason may_retry(const dispatch_order& order, const wire::forward_reply& reply,
                                   std::uint32_t& redirects);
    [[nodiscard]] bool passes_entrance(dispatch_order& order);
    [[nodiscard]] double share_that_passes(const dispatch_order& order);
    [[nodiscard]] wire::forward_reply shed(const dispatch_order& order);
    void note_demand_ratio(const dispatch_order& order, double ratio);
    [[nodiscard]] double service_ratio(const std::string& service);
    [[nodiscard]] double budget_share(const std::string& service) const;

    dispatcher_context context_;
    std::map<std::string, worker_record, std::less<>> workers_;
    std::map<std::string, retry_budget> budgets_;
    demand_ratio_table ratios_;
    priority_shedder bands_;
    /// Pressure at the workers of each service, and when it was worked out.
    std::map<std::string, std::pair<double, steady_time>> service_ratios_;
};

} // namespace dandelionmount

#endif
