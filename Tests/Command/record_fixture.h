#pragma once

#include "Base/address.h"
#include "Command/command_line.h"
#include "Support/temp_folder.h"

#include <string>

namespace sagesaddle::testing {

/// \brief A folder of records with one file; its destructor removes the folder.
class record_fixture {
public:
    /// \param text content of the file
    explicit record_fixture(const std::string& text);

    std::string path() const { return m_folder.path().string(); }

    /// Replaces the content of the file.
    void write(const std::string& text) const;

    /// \return a request to apply the folder.
    apply_request makeApplyRequest(const address& log, const std::string& operatorName) const;

private:
    temp_folder m_folder;
};

/// \return the text of a file that declares a team and a key of it, `NAME-key`.
std::string teamFile(const std::string& name);

} // namespace sagesaddle::testing
