#ifndef DANDELIONMOUNT_PROCESS_RESULT_H
#define DANDELIONMOUNT_PROCESS_RESULT_H

#include <boost/outcome/result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>

namespace dandelionmount {

/// A failure described for the person who reads it.
struct failure {
    std::string message;
};

/// Either a value or the failure that took its place.
template <typename T>
using result = boost::outcome_v2::basic_result<T, failure, boost::outcome_v2::policy::terminate>;

/// Stops the process: a condition that the program guarantees does not hold.
[[noreturn]] void invariant_broken(const char* condition, const char* file, int line);

} // namespace dandelionmount

/// Checks what must hold whatever the input; never used for bad input.
#define DANDELIONMOUNT_INVARIANT(condition)                                                                  \
    do {                                                                                                     \
        if (!(condition)) {                                                                                  \
            ::dandelionmount::invariant_broken(#condition, __FILE__, __LINE__);                              \
        }                                                                                                    \
    } while (false)

#endif
