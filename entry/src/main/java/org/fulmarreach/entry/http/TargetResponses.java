package org.fulmarreach.entry.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCode;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.Header;

/** Converts answers of targets to responses for callers; passes on status, end-to-end headers and body unchanged. */
final class TargetResponses {
    /** Headers that the HTTP library writes itself, or that apply only to one connection. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "content-type",
            "content-length",
            "transfer-encoding",
            "connection",
            "keep-alive",
            "upgrade",
            "trailer",
            "request-id");

    private TargetResponses() {}

    static HttpResponse toResponse(String requestId, CallResult result) {
        StatusCode status = toStatus(result.getStatus());
        List<HttpHeader> headers = new ArrayList<>();
        headers.add(rawHeader("Request-Id", requestId));
        ContentType contentType = ContentTypes.NO_CONTENT_TYPE;
        List<Header> received = result.getHeaders() == null ? List.of() : result.getHeaders();
        for (Header header : received) {
            String name = header.getName().toLowerCase(Locale.ROOT);
            if (name.equals("content-type")) {
                contentType = parse(header.getValue());
            } else if (name.equals("date") || name.equals("server")) {
                // The library writes its own values unless these are set as typed headers.
                headers.add(HttpHeader.parse(header.getName(), header.getValue()));
            } else if (!NOT_FORWARDED.contains(name)) {
                headers.add(rawHeader(header.getName(), header.getValue()));
            }
        }
        HttpResponse response = HttpResponse.create().withStatus(status).withHeaders(headers);
        byte[] body = result.getBody();
        if (!status.allowsEntity() || body == null) {
            return response;
        }
        return response.withEntity(contentType, body);
    }

    static HttpHeader rawHeader(String name, String value) {
        return RawHeader.create(name, value);
    }

    private static StatusCode toStatus(int status) {
        try {
            return StatusCodes.get(status);
        } catch (RuntimeException e) {
            return StatusCodes.custom(status, "Status " + status, "", status < 400, status >= 200);
        }
    }

    private static ContentType parse(String text) {
        try {
            return ContentTypes.parse(text);
        } catch (IllegalArgumentException e) {
            return ContentTypes.APPLICATION_OCTET_STREAM;
        }
    }
}
