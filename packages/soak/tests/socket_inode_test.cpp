#include <chervilbend/soak/socket_inode.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <sys/stat.h>

namespace asio = boost::asio;
using namespace chervilbend::soak;

/// Guards against connections to the store that are taken for those of another node, or for those of none.
class socket_inode_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(socket_inode_test);
    CPPUNIT_TEST(openConnectionIsFound);
    CPPUNIT_TEST(closedConnectionIsNotFound);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_client.connect(m_acceptor.local_endpoint());
        m_server = m_acceptor.accept();
    }

    void openConnectionIsFound()
    {
        struct stat status {
        };
        CPPUNIT_ASSERT_EQUAL(0, ::fstat(m_client.native_handle(), &status));
        const auto inode = inodeOfSocket(m_client.local_endpoint().port(), m_acceptor.local_endpoint().port());
        CPPUNIT_ASSERT(inode);
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(status.st_ino), static_cast<std::uint64_t>(*inode));
    }

    void closedConnectionIsNotFound()
    {
        const std::uint16_t from = m_client.local_endpoint().port();
        m_client.close();
        CPPUNIT_ASSERT(!inodeOfSocket(from, m_acceptor.local_endpoint().port()));
    }

private:
    asio::io_context m_context{1};
    asio::ip::tcp::acceptor m_acceptor{m_context, {asio::ip::address_v4::loopback(), 0}};
    asio::ip::tcp::socket m_client{m_context};
    asio::ip::tcp::socket m_server{m_context};
};

CPPUNIT_TEST_SUITE_REGISTRATION(socket_inode_test);
