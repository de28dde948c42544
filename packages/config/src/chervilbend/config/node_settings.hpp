#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/units.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chervilbend::config
{

/// What a node is told at its start. nodeSettingTable() documents each member, with its range; docs/settings.md is generated from it.
struct node_settings {
    std::string node;
    std::string zone;
    /// "IP:PORT" or "[IPv6]:PORT", as are the other addresses.
    std::string listen;
    std::string peerListen;
    std::string log;
    std::string hosts;
    std::string store;
    /// Of the platform's metadata store; not empty on the users' platform, where log, hosts, store and keys are not used.
    std::string metadataStore;
    /// Where the platform asks whether the node is ready; empty to answer on listen only.
    std::string readyListen;
    /// Where metrics are served; empty to serve them on listen only.
    std::string metricsListen;
    /// One or two; the first signs, both are accepted.
    std::vector<std::string> keys;
    std::string logLevel = "INFO";
    /// Log lines as JSON objects on standard output, instead of text on standard error.
    bool jsonLog = false;

    base::milliseconds leaseTerm{6'000};
    base::milliseconds leaseMargin{1'000};
    base::milliseconds heartbeatInterval{2'000};
    base::milliseconds quarantine{600'000};
    base::milliseconds checkpointInterval{60'000};
    base::milliseconds keyLifetime{7'200'000};

    base::milliseconds reportInterval{2'000};
    base::milliseconds hostInterval{2'000};

    base::milliseconds balancerWait{5'000};
    base::milliseconds shutdownBound{60'000};

    base::byte_count headerLimit{16 * 1024};
    base::byte_count bodyLimit{4 * 1024 * 1024};
    std::int64_t connectionLimit = 10'000;
    base::milliseconds readTimeout{10'000};
    base::milliseconds writeTimeout{30'000};
    base::milliseconds idleTimeout{60'000};
    std::int64_t queueLength = 10'000;
    std::int64_t retryPercent = 10;
    std::int64_t longWorkPercent = 45;
    std::int64_t seed = 0;
    base::milliseconds drainTime{2'000};
    base::milliseconds commandGap{3'000};
    bool enginesCheckFencing = false;
    double retryShare = 0.2;
    double retryBurst = 50;
    base::milliseconds loadWindow{5'000};
    double loadOvershoot = 1.0;
};

} // namespace chervilbend::config
