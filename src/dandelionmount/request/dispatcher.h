#ifndef DANDELIONMOUNT_REQUEST_DISPATCHER_H
#define DANDELIONMOUNT_REQUEST_DISPATCHER_H

#include "dandelionmount/connection/async_event.h"
#include "dandelionmount/connection/peer_link.h"
#include "dandelionmount/process/configuration_store.h"
#include "dandelionmount/process/membership.h"
#include "dandelionmount/process/metrics.h"
#include "dandelionmount/process/peer_directory.h"
#include "dandelionmount/request/priority_shedder.h"
#include "dandelionmount/request/demand_ratio_table.h"
#include "dandelionmount/request/executor.h"
#include "dandelionmount/request/retry_allowance.h"
#include "dandelionmount/process/retry_limiter.h"
#include "dandelionmount/request/worker_choice.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dandelionmount {

/// Dependencies and options of a dispatcher. The referenced objects must outlive it.
struct dispatcher_context {
    const time_source& time;
    metrics& counters;
    const configuration_store& configuration;
    const member_table& members;
    peer_directory& peers;
    executor& local;
    std::mt19937_64& random;
    retry_limiter& retries;
    /// Whether retries are taken from the request's allowance. Off only in benchmarks: each hop then retries
    /// independently.
    bool uses_allowance{true};
    /// Whether calls made by a target count as part of the request that caused them and share its allowance.
    bool shares_allowance{true};
    /// Whether an attempt that was refused by a worker's host, and so never reached the worker, may be
    /// redirected to another worker without using a retry.
    bool redirects_refused_attempts{false};
    /// Load of this host's target and of the services that it calls; nullptr where ingress nodes shed by
    /// client account.
    service_pressure* pressure{nullptr};
    /// When this process ends; nullptr where no stop is planned.
    const stop_schedule* stop{nullptr};
};

/// A request to send to a worker.
struct dispatch_order {
    /// Complete except for the attempt number, the remaining time and the allowance. The dispatcher may also
    /// set the weight.
    wire::forward_request request;
    /// Prefix of the route, under which the load of downstream services is recorded.
    std::string route;
    /// Whether the request enters the fleet at this host. Only then is it shed for downstream load: shedding
    /// a target's calls again at each hop would shed far too much, and work has already been spent on them.
    bool at_ingress{false};
    steady_time deadline;
    /// When the response is due by the route's latency objective, at most the deadline.
    steady_time due;
    std::shared_ptr<retry_allowance> allowance;
    std::shared_ptr<cancel_token> cancel;
};

/// Whether and where an attempt is repeated.
struct retry_decision {
    /// Why the attempt is repeated; none if its reply is final.
    reason cause{reason::none};
    bool at_same_worker{false};
};

/// Sends a request to a worker, and retries on another one where that is safe and worthwhile.
class dispatcher {
public:
    explicit dispatcher(dispatcher_context context);

    /// Returns the final reply. Retries only when the previous attempt is proved not to have run or the
    /// request is idempotent, and only within the request's allowance and the service's retry budget.
    boost::asio::awaitable<wire::forward_reply> dispatch(dispatch_order order);
    /// Records the result of comparing a worker with others of its service.
    void record_worker_comparison(const std::string& host, const target_health& health);
    /// Records whether a worker's host can be reached.
    void record_reachability(const std::string& host, bool reachable) {
        workers_[host].host_reachable = reachable;
    }

private:
    /// An attempt that may run still at another host, with which the connection was lost.
    struct lost_attempt {
        std::string host;
        std::shared_ptr<peer_link> link;
        unsettled_attempt attempt;
        /// Retries that the attempt was given.
        std::uint32_t allowance{0};
    };
    struct attempt_result {
        wire::forward_reply reply;
        std::optional<lost_attempt> lost;
    };

    boost::asio::awaitable<wire::forward_reply> make_attempts(dispatch_order order);
    boost::asio::awaitable<attempt_result> attempt(const dispatch_order& order, std::string host);
    boost::asio::awaitable<wire::forward_reply> conclude(const dispatch_order& order, attempt_result last,
                                                         bool earlier_attempt_may_have_run);
    void record_reply(const dispatch_order& order, const std::string& host, std::uint32_t allowance,
                      const wire::forward_reply& reply);
    [[nodiscard]] boost::asio::awaitable<retry_decision>
    decide_retry(const dispatch_order& order, const wire::forward_reply& reply, std::uint32_t& redirects);
    /// Whether another attempt would come too late, or nobody waits for it.
    [[nodiscard]] bool has_ended(const dispatch_order& order) const;
    /// Whether an attempt that starts now could end before this process does.
    [[nodiscard]] bool is_attempt_in_time() const;
    [[nodiscard]] bool admit_at_ingress(dispatch_order& order);
    [[nodiscard]] double ingress_admitted_share(const dispatch_order& order);
    [[nodiscard]] wire::forward_reply make_shed_reply(const dispatch_order& order);
    void record_demand(const dispatch_order& order, const wire::forward_reply& reply);
    [[nodiscard]] double service_pressure_ratio(const std::string& service);

    dispatcher_context context_;
    std::map<std::string, worker_record, std::less<>> workers_;
    demand_ratio_table ratios_;
    priority_shedder shedder_;
    /// Cached ratio of demand to capacity at the workers of each service, and when it was computed.
    std::map<std::string, std::pair<double, steady_time>> service_pressure_ratios_;
};

} // namespace dandelionmount

#endif
