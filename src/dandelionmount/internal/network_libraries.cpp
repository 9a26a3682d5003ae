// The one place where the bodies of Asio and Beast are compiled.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
