#include "Fleet/model_ref.h"

#include "Fleet/upstream_list.h"

namespace sagesaddle {

namespace {

constexpr char separator = '/';

} // namespace

std::string formatModelRef(const std::string& model, const std::string& adapter)
{
    return adapter.empty() ? model : model + separator + adapter;
}

model_ref parseModelRef(std::string_view name)
{
    const std::size_t at = name.find(separator);
    if (at == std::string_view::npos)
        return { std::string(name), {} };
    return { std::string(name.substr(0, at)), std::string(name.substr(at + 1)) };
}

bool isAdapterRef(std::string_view name)
{
    return name.find(separator) != std::string_view::npos;
}

std::vector<std::string> loadedModelRefs(const std::vector<loaded_model>& models)
{
    std::vector<std::string> names;
    for (const auto& model : models) {
        names.push_back(model.name);
        for (const auto& adapter : model.adapters)
            names.push_back(formatModelRef(model.name, adapter));
    }
    return names;
}

} // namespace sagesaddle
