package org.cuminspur.fuzz;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cuminspur.config.ConfigFault;
import org.cuminspur.config.ConfigFile;
import org.cuminspur.config.ConfigParser;
import org.cuminspur.control.Order;
import org.cuminspur.control.Target;
import org.cuminspur.control.message.PeerMessage;
import org.cuminspur.http.client.LoadHeader;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.peer.internal.FrameAuthenticator;
import org.cuminspur.peer.internal.PeerCodec;
import org.cuminspur.peer.internal.generated.Frame;
import org.cuminspur.router.RouterSettingsParser;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Feeds randomly corrupted input to every parser of external bytes; none may throw. */
public class InputFuzzTest {
    private static final int CORRUPTIONS = 5_000;
    private static final long SEED = 20_261_203;
    private static final InstanceId SENDER = new InstanceId("router-1");
    private static final InstanceId RECEIVER = new InstanceId("router-2");

    @DataProvider
    public Object[][] messages() {
        Order order = new Order(new Target(Target.Kind.DOMAIN, "verona"), 3, true, "operator");
        ConfigFile file = new ConfigFile(new Revision(2), "[domain verona]\nregion = it-nord\n");
        return new Object[][] {
            {
                new PeerMessage.Digest(
                        new FailureDomainId("verona"), new Revision(7), -5, true, true, 9, List.of(RECEIVER))
            },
            {new PeerMessage.ConfigRequest(new Revision(3))},
            {new PeerMessage.ConfigDelta(new Revision(1), new Revision(2), "p", Map.of("a", file), List.of("b"), -7)},
            {new PeerMessage.Orders(List.of(order), true)},
            {
                new PeerMessage.UpstreamAlerts(
                        List.of(new PeerMessage.UpstreamAlert(
                                new UpstreamId("engine-1"), PeerMessage.UpstreamAlert.Kind.COLD, 5, 6, 1.5)),
                        2)
            },
            {new PeerMessage.AccountUsage(List.of(new PeerMessage.Usage(new AccountId("buyers"), 2.5, 4)))},
            {new PeerMessage.AccountShares(List.of(new PeerMessage.Share(new AccountId("buyers"), 2.5, 4, 900)))},
        };
    }

    @Test(dataProvider = "messages")
    public void decodedMessageEqualsTheEncodedOne(PeerMessage message) {
        assertEquals(PeerCodec.decode(PeerCodec.encode(message)), Optional.of(message));
    }

    @Test(dataProvider = "messages")
    public void decodingACorruptedMessageDoesNotThrow(PeerMessage message) {
        forEachCorruption(PeerCodec.encode(message), PeerCodec::decode);
    }

    @Test(dataProvider = "messages")
    public void corruptedFrameFailsAuthentication(PeerMessage message) {
        FrameAuthenticator auth = new FrameAuthenticator("a-peer-key-of-the-tests");
        Frame frame = auth.sign(SENDER, RECEIVER, PeerCodec.encode(message));
        forEachCorruption(frame.getPayload().toByteArray(), bytes -> {
            Frame changed =
                    frame.toBuilder().setPayload(ByteString.copyFrom(bytes)).build();
            assertEquals(auth.verify(changed, RECEIVER), changed.equals(frame));
        });
    }

    @Test
    public void faultsOfACorruptedServiceFileNameFileAndLine() throws IOException {
        Path file = Path.of("..", "examples", "vlieland", "booking", "booking.cuminspur.ini");
        forEachCorruption(Files.readAllBytes(file), bytes -> {
            List<ConfigFault> faults =
                    ConfigParser.parse(Map.of("f", text(bytes))).fold(found -> found, c -> List.of());
            assertTrue(faults.stream().allMatch(fault -> fault.file().equals("f") && fault.line() > 0));
        });
    }

    @Test
    public void parsingCorruptedSettingsDoesNotThrow() throws IOException {
        byte[] settings = Files.readAllBytes(Path.of("..", "examples", "router.ini"));
        forEachCorruption(settings, bytes -> RouterSettingsParser.parse("f", text(bytes)));
    }

    @Test
    public void parsingACorruptedLoadHeaderDoesNotThrow() {
        String header = "JSON {\"named_metrics\":{\"in_progress\":3,\"slots\":16,\"incarnation\":1764800000000}}";
        assertEquals(LoadHeader.parse(header).get().slots(), 16.0);
        forEachCorruption(header.getBytes(StandardCharsets.UTF_8), bytes -> LoadHeader.parse(text(bytes)));
    }

    @Test
    public void outOfRangeLoadIsNotReported() {
        Stream.of("-1", "1e300", "NaN", "\"3\"")
                .map(load -> "JSON {\"named_metrics\":{\"in_progress\":" + load + ",\"slots\":16}}")
                .forEach(header -> assertTrue(LoadHeader.parse(header).isEmpty(), header));
    }

    private static void forEachCorruption(byte[] original, Consumer<byte[]> reader) {
        Mutator mutator = new Mutator(SEED);
        IntStream.range(0, CORRUPTIONS).forEach(number -> reader.accept(mutator.mutate(original)));
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
