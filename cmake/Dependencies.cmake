find_package(Threads REQUIRED)
set(Boost_USE_STATIC_LIBS ON)
find_package(Boost 1.81 REQUIRED COMPONENTS json)

# chervilbend_import_library(NAME HEADER LIBRARY [DEPENDS targets...])
#
# Defines external::NAME. Debian has no CMake package files for most of the libraries, and those of yaml-cpp know no archive.
function(chervilbend_import_library name header library)
    cmake_parse_arguments(PARSE_ARGV 3 arg "" "" "DEPENDS")
    find_path(${name}_INCLUDE ${header} REQUIRED)
    # Another type of the library is another name in the cache, so that build folders of before find the new one.
    string(MAKE_C_IDENTIFIER ${library} file)
    find_library(${name}_${file} ${library} REQUIRED)
    add_library(external::${name} UNKNOWN IMPORTED GLOBAL)
    set_target_properties(external::${name} PROPERTIES
        IMPORTED_LOCATION ${${name}_${file}}
        INTERFACE_SYSTEM_INCLUDE_DIRECTORIES ${${name}_INCLUDE}
        INTERFACE_LINK_LIBRARIES "${arg_DEPENDS}")
endfunction()

# Archives, because a signal ends the process while the loader still maps shared libraries. Debian has no archive of log4cxx and jsoncpp,
# which keep the C++ library shared.
chervilbend_import_library(crypto openssl/evp.h libcrypto.a DEPENDS Threads::Threads ${CMAKE_DL_LIBS})
chervilbend_import_library(ssl openssl/ssl.h libssl.a DEPENDS external::crypto)
chervilbend_import_library(yaml_cpp yaml-cpp/yaml.h libyaml-cpp.a)
chervilbend_import_library(gflags gflags/gflags.h libgflags.a DEPENDS Threads::Threads)
chervilbend_import_library(xxhash xxhash.h libxxhash.a)
chervilbend_import_library(log4cxx log4cxx/logger.h log4cxx)
chervilbend_import_library(jsoncpp jsoncpp/json/json.h jsoncpp)
chervilbend_import_library(jsonrpc_common jsonrpccpp/common/exception.h libjsonrpccpp-common.a DEPENDS external::jsoncpp)
chervilbend_import_library(jsonrpc_server jsonrpccpp/server.h libjsonrpccpp-server.a DEPENDS external::jsonrpc_common)
chervilbend_import_library(jsonrpc_client jsonrpccpp/client.h libjsonrpccpp-client.a DEPENDS external::jsonrpc_common)
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
