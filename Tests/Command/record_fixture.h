#pragma once

#include "Base/address.h"
#include "Command/command_line.h"
#include "Support/temp_folder.h"

#include <string>

namespace sagesaddle::testing {

/// \brief A folder of records that is removed at the end of a test.
class record_fixture {
public:
    /// \param text what the folder's only file holds
    explicit record_fixture(const std::string& text);

    std::string path() const { return m_folder.path().string(); }

    /// Replaces the folder's only file.
    void write(const std::string& text) const;

    /// \return a request to apply the folder.
    apply_request makeApplyRequest(const address& log, const std::string& operatorName) const;

private:
    temp_folder m_folder;
};

/// \return a file with one team of that name and a key of it.
std::string teamFile(const std::string& name);

} // namespace sagesaddle::testing
