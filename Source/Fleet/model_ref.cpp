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

model_ref parseModelRef(std::string_view text)
{
    const std::size_t position = text.find(separator);
    if (position == std::string_view::npos)
        return { std::string(text), {} };
    return { std::string(text.substr(0, position)), std::string(text.substr(position + 1)) };
}

bool isAdapterRef(std::string_view text)
{
    return text.find(separator) != std::string_view::npos;
}

std::vector<std::string> loadedModelRefs(const std::vector<loaded_model>& models)
{
    std::vector<std::string> refs;
    for (const auto& model : models) {
        refs.push_back(model.name);
        for (const auto& adapter : model.adapters)
            refs.push_back(formatModelRef(model.name, adapter));
    }
    return refs;
}

} // namespace sagesaddle
