#include "dandelionmount/process/admission_queue.h"

#include <algorithm>
#include <limits>

namespace dandelionmount {

namespace {

void remove_empty_queues(admission_queue& queue) {
    for (auto level = queue.by_priority.begin(); level != queue.by_priority.end();) {
        std::erase_if(level->second, [](const auto& entry) { return entry.second.empty(); });
        level = level->second.empty() ? queue.by_priority.erase(level) : std::next(level);
    }
}

double min_start_count(const admission_queue::account_queues& accounts,
                       const std::map<std::string, double>& start_counts) {
    double min_count = std::numeric_limits<double>::max();
    for (const auto& [account, requests] : accounts) {
        const auto count = start_counts.find(account);
        min_count = std::min(min_count, count == start_counts.end() ? 0 : count->second);
    }
    return min_count;
}

// The highest priority, of those that are in time or of the late ones, is first.
bool is_late_next(const admission_queue& queue) {
    return !queue.late.empty() &&
           (queue.by_priority.empty() || queue.late.begin()->first > queue.by_priority.begin()->first);
}

std::optional<queued_request> pop_late(admission_queue& queue, bool from_lowest_priority) {
    const auto level = from_lowest_priority ? std::prev(queue.late.end()) : queue.late.begin();
    queued_request popped = std::move(level->second.front());
    level->second.pop_front();
    if (level->second.empty()) {
        queue.late.erase(level);
    }
    --queue.size;
    --queue.late_size;
    return popped;
}

admission_queue::account_queues::iterator next_account(admission_queue& queue,
                                                       admission_queue::account_queues& accounts) {
    auto chosen = accounts.begin();
    for (auto entry = accounts.begin(); entry != accounts.end(); ++entry) {
        if (queue.start_counts[entry->first] < queue.start_counts[chosen->first]) {
            chosen = entry;
        }
    }
    return chosen;
}

std::optional<queued_request> pop_newest(admission_queue& queue, std::deque<queued_request>& requests) {
    queued_request popped = std::move(requests.back());
    requests.pop_back();
    --queue.size;
    remove_empty_queues(queue);
    return popped;
}

bool remove_late(admission_queue& queue, std::uint64_t ticket) {
    for (auto level = queue.late.begin(); level != queue.late.end(); ++level) {
        const auto removed = std::erase_if(
            level->second, [ticket](const queued_request& request) { return request.ticket == ticket; });
        if (removed > 0) {
            if (level->second.empty()) {
                queue.late.erase(level);
            }
            --queue.size;
            --queue.late_size;
            return true;
        }
    }
    return false;
}

} // namespace

void push_request(admission_queue& queue, queued_request request) {
    auto& accounts = queue.by_priority[request.priority];
    // An account without queued requests resumes at the lowest count of the others, so that it gains no
    // credit for the time in which it sent none.
    if (!accounts.contains(request.account) && !accounts.empty()) {
        double& count = queue.start_counts[request.account];
        count = std::max(count, min_start_count(accounts, queue.start_counts));
    }
    accounts[request.account].push_back(std::move(request));
    ++queue.size;
}

std::optional<queued_request> pop_request(admission_queue& queue, steady_time earliest_end) {
    while (!queue.by_priority.empty() && !is_late_next(queue)) {
        const std::uint32_t priority = queue.by_priority.begin()->first;
        const auto chosen = next_account(queue, queue.by_priority.begin()->second);
        const std::string account = chosen->first;
        queued_request next = std::move(chosen->second.front());
        chosen->second.pop_front();
        remove_empty_queues(queue);
        if (next.due >= earliest_end) {
            queue.start_counts[account] += 1;
            --queue.size;
            return next;
        }
        queue.late[priority].push_back(std::move(next));
        ++queue.late_size;
    }
    if (!queue.late.empty()) {
        return pop_late(queue, false);
    }
    queue.start_counts.clear();
    return std::nullopt;
}

bool remove_request(admission_queue& queue, std::uint64_t ticket) {
    for (auto& [priority, accounts] : queue.by_priority) {
        for (auto& [account, requests] : accounts) {
            const auto has_ticket = [ticket](const queued_request& request) {
                return request.ticket == ticket;
            };
            const auto found = std::find_if(requests.begin(), requests.end(), has_ticket);
            if (found != requests.end()) {
                requests.erase(found);
                --queue.size;
                remove_empty_queues(queue);
                return true;
            }
        }
    }
    return remove_late(queue, ticket);
}

std::optional<queued_request> evict_for(admission_queue& queue, std::uint32_t priority,
                                        const std::string& account) {
    const bool is_late_lowest =
        !queue.late.empty() &&
        (queue.by_priority.empty() || queue.late.rbegin()->first <= queue.by_priority.rbegin()->first);
    if (is_late_lowest) {
        return queue.late.rbegin()->first > priority ? std::nullopt : pop_late(queue, true);
    }
    if (queue.by_priority.empty()) {
        return std::nullopt;
    }
    auto& [lowest, accounts] = *queue.by_priority.rbegin();
    if (lowest > priority) {
        return std::nullopt;
    }
    const auto fewer = [](const auto& left, const auto& right) {
        return left.second.size() < right.second.size();
    };
    const auto largest = std::max_element(accounts.begin(), accounts.end(), fewer);
    if (lowest == priority) {
        const auto own = accounts.find(account);
        const std::size_t own_size = own == accounts.end() ? 0 : own->second.size();
        if (largest->second.size() <= own_size + 1) {
            return std::nullopt;
        }
    }
    return pop_newest(queue, largest->second);
}

std::size_t requests_ahead(const admission_queue& queue, std::uint32_t priority) {
    std::size_t ahead = 0;
    for (const auto& [level, accounts] : queue.by_priority) {
        if (level < priority) {
            break;
        }
        for (const auto& [account, requests] : accounts) {
            ahead += requests.size();
        }
    }
    for (const auto& [level, requests] : queue.late) {
        ahead += level > priority ? requests.size() : 0;
    }
    return ahead;
}

} // namespace dandelionmount
