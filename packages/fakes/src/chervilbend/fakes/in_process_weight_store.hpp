#pragma once

#include <chervilbend/external/weight_store.hpp>
#include <chervilbend/fakes/weight_store_model.hpp>

#include <memory>

namespace chervilbend::fakes
{

/// Gives access to a weight store model in the same process.
class in_process_weight_store : public external::weight_store
{
public:
    explicit in_process_weight_store(std::shared_ptr<weight_store_model> model);

    void setReachable(bool reachable);

    boost::asio::awaitable<std::optional<external::weight_store_status>> status() override;

private:
    std::shared_ptr<weight_store_model> m_model;
    bool m_reachable = true;
};

} // namespace chervilbend::fakes
