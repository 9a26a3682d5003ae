#include "dandelionmount/process/admission_queue.h"

#include <algorithm>
#include <limits>

namespace dandelionmount {

namespace {

void drop_empty(admission_queue& queue) {
    for (auto level = queue.by_priority.begin(); level != queue.by_priority.end();) {
        std::erase_if(level->second, [](const auto& entry) { return entry.second.empty(); });
        level = level->second.empty() ? queue.by_priority.erase(level) : std::next(level);
    }
}

double least_turn(const admission_queue::account_queues& accounts,
                  const std::map<std::string, double>& turns) {
    double least = std::numeric_limits<double>::max();
    for (const auto& [account, requests] : accounts) {
        const auto turn = turns.find(account);
        least = std::min(least, turn == turns.end() ? 0 : turn->second);
    }
    return least;
}

std::optional<queued_request> take_newest(admission_queue& queue, std::deque<queued_request>& requests) {
    queued_request taken = std::move(requests.back());
    requests.pop_back();
    --queue.size;
    drop_empty(queue);
    return taken;
}

} // namespace

void push_request(admission_queue& queue, queued_request request) {
    auto& accounts = queue.by_priority[request.priority];
    // An account that comes back after a pause takes its turn beside the others; it has saved up nothing.
    if (!accounts.contains(request.account) && !accounts.empty()) {
        double& turn = queue.turns[request.account];
        turn = std::max(turn, least_turn(accounts, queue.turns));
    }
    accounts[request.account].push_back(std::move(request));
    ++queue.size;
}

std::optional<queued_request> pop_request(admission_queue& queue) {
    if (queue.by_priority.empty()) {
        queue.turns.clear();
        return std::nullopt;
    }
    auto& accounts = queue.by_priority.begin()->second;
    auto chosen = accounts.begin();
    for (auto entry = accounts.begin(); entry != accounts.end(); ++entry) {
        if (queue.turns[entry->first] < queue.turns[chosen->first]) {
            chosen = entry;
        }
    }
    queue.turns[chosen->first] += 1;
    queued_request taken = std::move(chosen->second.front());
    chosen->second.pop_front();
    --queue.size;
    drop_empty(queue);
    return taken;
}

bool remove_request(admission_queue& queue, std::uint64_t ticket) {
    for (auto& [priority, accounts] : queue.by_priority) {
        for (auto& [account, requests] : accounts) {
            const auto same = [ticket](const queued_request& request) { return request.ticket == ticket; };
            const auto found = std::find_if(requests.begin(), requests.end(), same);
            if (found != requests.end()) {
                requests.erase(found);
                --queue.size;
                drop_empty(queue);
                return true;
            }
        }
    }
    return false;
}

std::optional<queued_request> evict_for(admission_queue& queue, std::uint32_t priority,
                                        const std::string& account) {
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
    return take_newest(queue, largest->second);
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
    return ahead;
}

} // namespace dandelionmount
