import { DecoratorHandler, type Dispatcher } from "undici";

/** Records whether undici has started writing a request to its socket. */
export interface SendTracker {
    hasStarted: boolean;
}

interface TrackedOptions {
    readonly sendTracker?: SendTracker;
}

class TrackingHandler extends DecoratorHandler {
    private readonly handler: Dispatcher.DispatchHandler;
    private readonly tracker: SendTracker;

    constructor(handler: Dispatcher.DispatchHandler, tracker: SendTracker) {
        super(handler);
        this.handler = handler;
        this.tracker = tracker;
    }

    // undici calls this after it has assigned a connection, directly before it writes the first byte.
    onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
        this.tracker.hasStarted = true;
        this.handler.onRequestStart?.(controller, context);
    }
}

/** Interceptor that sets `hasStarted` of a request's `sendTracker` before the request's first byte is written. */
export const trackSend: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => {
    const { sendTracker } = options as TrackedOptions;
    if (sendTracker === undefined) return dispatch(options, handler);
    return dispatch(options, new TrackingHandler(handler, sendTracker));
};
