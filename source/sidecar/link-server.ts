/**
WebSocket server of a sidecar: accepts links from gateways.
*/
import {WebSocketServer} from 'ws';
import type {Message} from '../generated/messages.js';
import {Link} from '../links/link.js';
import type {Metrics} from '../shared/metrics.js';
import {newIdentifier} from '../shared/new-identifier.js';

const maxFrameBytes = 16 * 1024 * 1024;

type LinkServerOptions = {
	readonly metrics: Metrics;
	/** True while an attempt that arrived on the link has not ended, or has unacknowledged output. */
	readonly hasWork: (link: string) => boolean;
	readonly onOpen: (link: string) => void;
	readonly onMessage: (link: string, message: Message) => void;
	readonly onClosed: (link: string) => void;
};

/**
Holds the open links of one sidecar, by identifier.

@example
```
const server = new LinkServer(options);
await server.listen({host: '10.0.3.7', port: 7000});
```
*/
export class LinkServer {
	readonly #options: LinkServerOptions;
	readonly #links = new Map<string, Link>();
	#server: WebSocketServer | undefined;

	constructor(options: LinkServerOptions) {
		this.#options = options;
	}

	async listen(address: {readonly host: string; readonly port: number}): Promise<void> {
		const server = new WebSocketServer({...address, perMessageDeflate: false, maxPayload: maxFrameBytes});
		this.#server = server;
		server.on('connection', socket => {
			const id = newIdentifier();
			const {metrics, onMessage, onClosed, onOpen, hasWork} = this.#options;
			this.#links.set(id, new Link(socket, {
				onMessage(message) {
					onMessage(id, message);
				},
				onClosed: () => {
					this.#links.delete(id);
					onClosed(id);
				},
				// Only the gateway, which opened the link, closes an idle one.
				isKeptOpen: () => true,
				hasWork: () => hasWork(id),
				onBytes(direction, bytes) {
					metrics.count(`link.bytes.${direction}`, bytes);
				},
			}));
			onOpen(id);
		});
		await new Promise<void>((resolve, reject) => {
			server.once('listening', resolve);
			server.once('error', reject);
		});
	}

	/** Returns false when the link is no longer open. */
	send(link: string, message: Message): boolean {
		return this.#links.get(link)?.send(message) ?? false;
	}

	broadcast(message: Message): void {
		for (const link of this.#links.values()) {
			link.send(message);
		}
	}

	close(): void {
		for (const link of this.#links.values()) {
			link.close('sidecar stopping');
		}

		this.#server?.close();
	}
}
