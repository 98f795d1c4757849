#ifndef MODULES_BBV_ENTRY_FORWARDED_REQUEST_H_
#define MODULES_BBV_ENTRY_FORWARDED_REQUEST_H_

#include <memory>
#include <string>

#include "bbv_fleet/fleet_call.h"
#include "bbv_front/http_client.h"

namespace bbv {

// Returns the request that sends a call to the first target of `dispatch`, with
// the time that the call has left at `now`. `head` and `body` are those of the
// caller's request; `body` is not null. Precondition: the address in `dispatch`
// has the form ip:port. Thread safe.
ExchangeRequest MakeForwardedRequest(const CallRequest& request,
                                     const CallDispatch& dispatch,
                                     const HttpHead& head,
                                     std::shared_ptr<const std::string> body,
                                     Instant now);

}  // namespace bbv

#endif  // MODULES_BBV_ENTRY_FORWARDED_REQUEST_H_
