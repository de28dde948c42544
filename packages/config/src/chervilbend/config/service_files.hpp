#pragma once

#include <chervilbend/config/service_set.hpp>
#include <chervilbend/config/source_location.hpp>

#include <map>
#include <string>
#include <vector>

namespace chervilbend::config
{

class map_reader;

/// Reads service files one by one and merges those of the same service. docs/service-files.md describes the format.
class service_files
{
public:
    /// Adds one file. All errors in it become faults.
    void add(const std::string &file, const std::string &text);

    /// Checks the merged declarations and returns them with all faults. Must be called once, after all files were added.
    service_set finish();

private:
    /// A service whose files are being merged. The keys of the locations are paths in the merged declaration.
    struct draft {
        service_declaration declaration;
        std::map<std::string, source_location> locations;
        bool hasPolicy = false;
        bool withdrawn = false;
    };

    /// An entry of a top-level list of adapters, which may be in another file than its model.
    struct top_level_adapter {
        base::service_id service;
        std::string model;
        adapter_declaration adapter;
        source_location location;
        std::map<std::string, source_location> locations;
    };

    void readModels(map_reader &root, draft &target);
    void readAdapters(map_reader &model, model_declaration &target);
    void readTopLevelAdapters(map_reader &root, const base::service_id &service);
    void readRoutes(map_reader &root, draft &target);
    void readPolicy(map_reader &root, draft &target);
    void attachTopLevelAdapters();
    void checkDrafts();
    void addFault(const base::service_id &service, const std::string &path, const std::string &text);

    std::map<base::service_id, draft> m_drafts;
    std::vector<top_level_adapter> m_topLevelAdapters;
    std::vector<fault> m_faults;
    /// Number of faults found before the checks of whole declarations.
    std::size_t m_readFaults = 0;
    std::size_t m_files = 0;
};

} // namespace chervilbend::config
