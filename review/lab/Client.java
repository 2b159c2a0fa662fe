package review.lab;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** HTTP client that opens a connection for each request. Thread-safe. */
public final class Client {
    /** An answer; status 0 stands for none. */
    public record Answer(int status, String body) {}

    /** Sends a request and reads the answer. */
    public Answer call(String address, String method, String path, String hostHeader, String body, int timeoutMs) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            socket.connect(
                    new InetSocketAddress(
                            InetAddress.getByName(address.substring(0, colon)),
                            Integer.parseInt(address.substring(colon + 1))),
                    timeoutMs);
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + (hostHeader == null ? address : hostHeader)
                    + "\r\nConnection: close\r\nFulmarreach-Deadline-Ms: " + timeoutMs
                    + (body == null ? "" : "\r\nContent-Type: application/json")
                    + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String line = HttpServer.readLine(in);
            if (line == null) {
                return new Answer(0, "");
            }
            int length = 0;
            for (String header = HttpServer.readLine(in);
                    header != null && !header.isEmpty();
                    header = HttpServer.readLine(in)) {
                if (header.toLowerCase().startsWith("content-length:")) {
                    length = Integer.parseInt(header.substring(header.indexOf(':') + 1).trim());
                }
            }
            return new Answer(
                    Integer.parseInt(line.split(" ")[1]), new String(in.readNBytes(length), StandardCharsets.UTF_8));
        } catch (IOException e) {
            return new Answer(0, String.valueOf(e.getMessage()));
        }
    }
}
