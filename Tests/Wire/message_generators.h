#pragma once

#include "Wire/messages.h"

#include <rapidcheck.h>

namespace sagesaddle::testing {

inline rc::Gen<std::string> textGen()
{
    return rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

inline rc::Gen<std::string> nameGen()
{
    return rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z')));
}

inline rc::Gen<std::vector<header_field>> headersGen()
{
    return rc::gen::container<std::vector<header_field>>(rc::gen::build<header_field>(
        rc::gen::set(&header_field::name, nameGen()), rc::gen::set(&header_field::value, textGen())));
}

inline rc::Gen<double> amountGen()
{
    return rc::gen::map(rc::gen::inRange(0, 1000000), [](int value) { return value / 8.0; });
}

inline rc::Gen<model_use> useGen()
{
    return rc::gen::build<model_use>(
        rc::gen::set(&model_use::model, nameGen()), rc::gen::set(&model_use::tokensPerSecond, amountGen()));
}

inline rc::Gen<load_report> loadGen()
{
    return rc::gen::build<load_report>(rc::gen::set(&load_report::upstream, nameGen()),
        rc::gen::set(&load_report::queued), rc::gen::set(&load_report::running),
        rc::gen::set(&load_report::slots), rc::gen::set(&load_report::freeMemoryMb),
        rc::gen::set(&load_report::reportAgeMs), rc::gen::set(&load_report::waitMs),
        rc::gen::set(&load_report::draining), rc::gen::set(&load_report::residentModels),
        rc::gen::set(&load_report::cachedPrefixes), rc::gen::set(&load_report::loadingModels),
        rc::gen::set(&load_report::modelUses, rc::gen::container<std::vector<model_use>>(useGen())));
}

inline rc::Gen<priority> priorityGen()
{
    return rc::gen::element(priority::Interactive, priority::Batch);
}

inline rc::Gen<message> requestGen()
{
    return rc::gen::cast<message>(rc::gen::build<request_message>(rc::gen::set(&request_message::id),
        rc::gen::set(&request_message::team, textGen()),
        rc::gen::set(&request_message::traceparent, textGen()),
        rc::gen::set(&request_message::method, nameGen()),
        rc::gen::set(&request_message::path,
            rc::gen::map(nameGen(), [](const std::string& name) { return "/" + name; })),
        rc::gen::set(&request_message::headers, headersGen()), rc::gen::set(&request_message::body),
        rc::gen::set(&request_message::model, textGen()),
        rc::gen::set(&request_message::priority, priorityGen()), rc::gen::set(&request_message::deadlineMs),
        rc::gen::set(&request_message::stream), rc::gen::set(&request_message::idempotent),
        rc::gen::set(&request_message::idempotencyKey, textGen()), rc::gen::set(&request_message::tokens)));
}

inline rc::Gen<message> answerGen()
{
    return rc::gen::oneOf(rc::gen::cast<message>(rc::gen::build<answer_head>(rc::gen::set(&answer_head::id),
                              rc::gen::set(&answer_head::status, rc::gen::inRange<std::uint16_t>(100, 600)),
                              rc::gen::set(&answer_head::headers, headersGen()))),
        rc::gen::cast<message>(rc::gen::build<answer_data>(rc::gen::set(&answer_data::id),
            rc::gen::set(&answer_data::sequence), rc::gen::set(&answer_data::bytes))),
        rc::gen::cast<message>(rc::gen::build<answer_end>(rc::gen::set(&answer_end::id),
            rc::gen::set(&answer_end::frames), rc::gen::set(&answer_end::bytes),
            rc::gen::set(&answer_end::tokensUsed), rc::gen::set(&answer_end::load, loadGen()))),
        rc::gen::cast<message>(rc::gen::build<refusal_message>(rc::gen::set(&refusal_message::id),
            rc::gen::set(&refusal_message::verdict,
                rc::gen::element(verdict::NotRun, verdict::MayHaveRun, verdict::Answered)),
            rc::gen::set(&refusal_message::reason), rc::gen::set(&refusal_message::detail),
            rc::gen::set(&refusal_message::retryAfterMs), rc::gen::set(&refusal_message::load, loadGen()))),
        rc::gen::cast<message>(rc::gen::build<load_answer>(
            rc::gen::set(&load_answer::id), rc::gen::set(&load_answer::load, loadGen()))));
}

inline rc::Gen<message> controlGen()
{
    return rc::gen::oneOf(
        rc::gen::cast<message>(rc::gen::build<cancel_message>(rc::gen::set(&cancel_message::id))),
        rc::gen::cast<message>(rc::gen::build<load_ask>(rc::gen::set(&load_ask::id))),
        rc::gen::cast<message>(rc::gen::build<side_view_message>(
            rc::gen::set(&side_view_message::offset), rc::gen::set(&side_view_message::view))),
        rc::gen::cast<message>(rc::gen::build<credit_ask>(rc::gen::set(&credit_ask::id),
            rc::gen::set(&credit_ask::team), rc::gen::set(&credit_ask::asker),
            rc::gen::set(&credit_ask::epoch), rc::gen::set(&credit_ask::tokens, amountGen()),
            rc::gen::set(&credit_ask::settledTotal, amountGen()),
            rc::gen::set(&credit_ask::prefetchTokens, amountGen()),
            rc::gen::set(&credit_ask::returnedTotal, amountGen()), rc::gen::set(&credit_ask::share))),
        rc::gen::cast<message>(rc::gen::build<credit_grant>(rc::gen::set(&credit_grant::id),
            rc::gen::set(&credit_grant::team), rc::gen::set(&credit_grant::holder),
            rc::gen::set(&credit_grant::epoch), rc::gen::set(&credit_grant::tokens, amountGen()),
            rc::gen::set(&credit_grant::grantedTotal, amountGen()), rc::gen::set(&credit_grant::retryAfterMs),
            rc::gen::set(&credit_grant::refusal), rc::gen::set(&credit_grant::share))),
        rc::gen::cast<message>(
            rc::gen::build<tail_request>(rc::gen::set(&tail_request::id), rc::gen::set(&tail_request::from))),
        rc::gen::cast<message>(
            rc::gen::build<tail_answer>(rc::gen::set(&tail_answer::id), rc::gen::set(&tail_answer::first),
                rc::gen::set(&tail_answer::next), rc::gen::set(&tail_answer::ageMs),
                rc::gen::set(&tail_answer::isLogUnreachable), rc::gen::set(&tail_answer::records),
                rc::gen::set(&tail_answer::snapshot), rc::gen::set(&tail_answer::run))));
}

/// \return any message that a process may send.
inline rc::Gen<message> messageGen()
{
    return rc::gen::oneOf(requestGen(), answerGen(), controlGen());
}

} // namespace sagesaddle::testing
