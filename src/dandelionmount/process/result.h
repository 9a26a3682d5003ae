#ifndef DANDELIONMOUNT_PROCESS_RESULT_H
#define DANDELIONMOUNT_PROCESS_RESULT_H

#include <boost/outcome/result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>

namespace dandelionmount {

/// A failure with a human-readable message.
struct failure {
    std::string message;
};

/// Either a value or a failure.
template <typename T>
using result = boost::outcome_v2::basic_result<T, failure, boost::outcome_v2::policy::terminate>;

/// Terminates the process because of a violated invariant.
[[noreturn]] void invariant_broken(const char* condition, const char* file, int line);

} // namespace dandelionmount

/// Checks an invariant that holds for any input; not for validating input.
#define DANDELIONMOUNT_INVARIANT(condition)                                                                  \
    do {                                                                                                     \
        if (!(condition)) {                                                                                  \
            ::dandelionmount::invariant_broken(#condition, __FILE__, __LINE__);                              \
        }                                                                                                    \
    } while (false)

#endif
