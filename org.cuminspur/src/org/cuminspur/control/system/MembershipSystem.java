package org.cuminspur.control.system;

import org.cuminspur.control.ControlInput;
import org.cuminspur.control.ControlSystem;
import org.cuminspur.control.InputHandlers;
import org.cuminspur.control.Tables;
import org.cuminspur.control.Turn;

/** Keeps the tables of routers and upstreams in step with the platform's list; used on the control thread only. */
public final class MembershipSystem implements ControlSystem {
    private final Tables tables;

    public MembershipSystem(Tables tables) {
        this.tables = tables;
    }

    @Override
    public void register(InputHandlers handlers) {
        handlers.on(ControlInput.InstancesListed.class, this::listed);
    }

    @Override
    public void tick(Turn turn) {}

    private void listed(ControlInput.InstancesListed input, Turn turn) {
        long before = tables.upstreams().count();
        tables.list(input.instances().stream());
        long after = tables.upstreams().count();
        if (before != after) {
            turn.changed("upstreams-listed", "from " + before + " to " + after);
        }
    }
}
