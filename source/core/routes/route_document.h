// Reads the operator's document, whatever its format.

#ifndef BULRUSHMOUNT_CORE_ROUTES_ROUTE_DOCUMENT_H_
#define BULRUSHMOUNT_CORE_ROUTES_ROUTE_DOCUMENT_H_

#include <string>
#include <string_view>
#include <variant>

#include "core/common/ids.h"
#include "core/routes/route_config.h"

namespace bulrushmount {

// A document that was read whole.
struct RouteDocument {
  // The operator's version: rises with each change, not always by one.
  Revision revision;
  RouteConfig config;
};

// Why a document cannot be taken: one line for the log.
struct RouteDocumentFault {
  std::string message;
};

class RouteDocumentDecoder {
 public:
  virtual ~RouteDocumentDecoder() = default;

  // All or nothing: a document with one fault is refused as a whole.
  virtual std::variant<RouteDocument, RouteDocumentFault> Decode(
      std::string_view text) const = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTES_ROUTE_DOCUMENT_H_
