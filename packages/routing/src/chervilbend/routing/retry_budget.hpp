#pragma once

namespace chervilbend::routing
{

/// Token bucket that keeps retries to a share of the requests, so that retries cannot multiply an overload.
class retry_budget
{
public:
    /// @p share of the requests, 0 to 1; @p burst retries at once after a quiet time.
    retry_budget(double share, double burst)
        : m_share(share)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// Changes the bound on retries at once; the tokens at hand stay, up to it.
    void setBurst(double burst)
    {
        m_burst = burst;
        m_tokens = m_tokens < burst ? m_tokens : burst;
    }

    /// A new request earns a part of a retry.
    void earn()
    {
        m_tokens = m_tokens + m_share < m_burst ? m_tokens + m_share : m_burst;
    }

    bool isUsedUp() const
    {
        return m_tokens < 1;
    }

    /// Takes one retry. False when none is left.
    bool take()
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
