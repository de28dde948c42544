// The only translation unit that compiles the bodies of Asio and Beast; all others see declarations, which cuts their compile time.
#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>
