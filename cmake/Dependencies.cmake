find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json)

# Debian ships no CMake package files for these libraries.
function(chervilbend_import_library name header library)
    find_path(${name}_INCLUDE ${header} REQUIRED)
    find_library(${name}_LIBRARY ${library} REQUIRED)
    add_library(external::${name} UNKNOWN IMPORTED GLOBAL)
    set_target_properties(external::${name} PROPERTIES
        IMPORTED_LOCATION ${${name}_LIBRARY}
        INTERFACE_SYSTEM_INCLUDE_DIRECTORIES ${${name}_INCLUDE})
endfunction()

chervilbend_import_library(log4cxx log4cxx/logger.h log4cxx)
chervilbend_import_library(gflags gflags/gflags.h gflags)
chervilbend_import_library(xxhash xxhash.h xxhash)
chervilbend_import_library(jsoncpp jsoncpp/json/json.h jsoncpp)
chervilbend_import_library(jsonrpc_common jsonrpccpp/common/exception.h jsonrpccpp-common)
chervilbend_import_library(jsonrpc_server jsonrpccpp/server.h jsonrpccpp-server)
chervilbend_import_library(jsonrpc_client jsonrpccpp/client.h jsonrpccpp-client)
if(CHERVILBEND_TESTS)
    chervilbend_import_library(cppunit cppunit/TestCase.h cppunit)
    chervilbend_import_library(rapidcheck rapidcheck.h rapidcheck)
endif()
target_include_directories(external::jsonrpc_common SYSTEM INTERFACE ${jsoncpp_INCLUDE}/jsoncpp)

# All targets need the same Asio and Beast configuration, because their implementation is compiled only once, in packages/net.
add_compile_definitions(BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_VISIBILITY)
add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)
if(CHERVILBEND_SANITIZE)
    add_compile_options(-fsanitize=address,undefined -fno-omit-frame-pointer -g)
    add_link_options(-fsanitize=address,undefined)
endif()
