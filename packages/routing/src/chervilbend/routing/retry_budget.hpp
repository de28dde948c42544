#pragma once

namespace chervilbend::routing
{

/// Token bucket that limits retries to a share of the requests, so that retries cannot amplify an overload.
class retry_budget
{
public:
    /// @p share is the maximum ratio of retries to requests, 0 to 1. @p burst is the capacity of the bucket: the number of retries that are
    /// allowed at once after a period without retries.
    retry_budget(double share, double burst)
        : m_share(share)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// Changes the capacity of the bucket. Tokens above the new capacity are dropped.
    void setBurst(double burst)
    {
        m_burst = burst;
        m_tokens = m_tokens < burst ? m_tokens : burst;
    }

    /// Adds the share of a new request to the bucket.
    void deposit()
    {
        m_tokens = m_tokens + m_share < m_burst ? m_tokens + m_share : m_burst;
    }

    bool isExhausted() const
    {
        return m_tokens < 1;
    }

    /// Takes one retry from the bucket. Returns false if none is left.
    bool tryWithdraw()
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    double m_share;
    double m_burst;
    double m_tokens;
};

} // namespace chervilbend::routing
